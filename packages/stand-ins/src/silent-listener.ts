/**
 * A process that listens at a port and accepts nothing, as one that is frozen: with its backlog full, the operating system neither accepts
 * nor refuses further connections.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'

const host = '127.0.0.1'
const backlog = 1
/** More than the backlog holds. */
const fillingConnections = 4
const fillMs = 50

export class SilentListener {
  readonly #sockets: Socket[] = []

  private constructor (private readonly child: ChildProcess) {}

  static async start (port: number): Promise<SilentListener> {
    const program = `require('node:net').createServer().listen(${JSON.stringify({ port, host, backlog })}, () => console.log('listening'))`
    const child = spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'inherit'] })
    await once(child.stdout, 'data')
    child.kill('SIGSTOP')
    const listener = new SilentListener(child)
    for (let each = 0; each < fillingConnections; each++) listener.#sockets.push(connect(port, host).on('error', () => {}))
    await pause(fillMs)
    return listener
  }

  stop (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.child.kill('SIGKILL')
  }
}
