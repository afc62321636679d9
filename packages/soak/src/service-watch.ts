/**
 * Watches from outside whether each process that the soak has not stopped serves. Finds processes that run without listening, that were
 * not started again, and entries that say that they are ready while callers are refused.
 */
import { connect } from 'node:net'
import { pause } from '@finchpitch/core'
import type { FleetSystem, Machine } from '@finchpitch/stand-ins'
import type { Disturbances } from './disturbances.js'

const pollMs = 150
const timeoutMs = 1000
/** A process listens this long after its start or the end of a disturbance; a crashed one is started again within it, too. */
const serveMs = 5000
const readyPath = '/v1/readiness'

const isOk = async (url: string): Promise<boolean> => await fetch(url, { signal: AbortSignal.timeout(timeoutMs), headers: { connection: 'close' } })
  .then(async response => { await response.arrayBuffer(); return response.ok }, () => false)

/** Whether an entry says that it is ready. */
export const isReady = async (fleet: FleetSystem, machine: Machine): Promise<boolean> =>
  await isOk(`http://${machine.ip}:${fleet.listeningPorts(machine).readiness}${readyPath}`)

type Connection = 'accepted' | 'refused' | 'unknown'

const tryConnection = async (host: string, port: number): Promise<Connection> => await new Promise(resolve => {
  const socket = connect({ host, port, timeout: timeoutMs })
  const finish = (connection: Connection): void => {
    socket.destroy()
    resolve(connection)
  }
  socket.on('connect', () => finish('accepted')).on('timeout', () => finish('unknown'))
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
})

export class ServiceWatch {
  readonly #violations = new Set<string>()
  readonly #stop = new AbortController()
  readonly #watching: Promise<unknown>

  constructor (private readonly fleet: FleetSystem, private readonly disturbances: Disturbances) {
    this.#watching = Promise.all([...fleet.entries, ...fleet.sides].map(async machine => await this.#watch(machine)))
  }

  /** Returns the violations, among them each process that does not serve now. */
  async stop (): Promise<string[]> {
    this.#stop.abort()
    await this.#watching
    for (const entry of this.fleet.entries) if (!await isReady(this.fleet, entry)) this.#violations.add(`${entry.name} is not ready at the end`)
    return [...this.#violations]
  }

  async #watch (machine: Machine): Promise<void> {
    let servedAt = performance.now()
    while (!this.#stop.signal.aborted) {
      const polledAt = performance.now()
      const missing = await this.#missingPorts(machine)
      const now = performance.now()
      if (missing.length === 0 || this.fleet.isDown(machine) || this.disturbances.ofMachine(machine.name, polledAt - pollMs, now)) servedAt = now
      if (now - servedAt > serveMs) {
        this.#violations.add(`${machine.name} has not served for ${serveMs} ms: ${missing.join(', ')}`)
        servedAt = Infinity
      }
      await pause(pollMs)
    }
  }

  /** The names of the ports that refuse connections, and of those whose process gives no metrics. */
  async #missingPorts (machine: Machine): Promise<string[]> {
    const { process, ip } = machine
    const ports = Object.entries(this.fleet.listeningPorts(machine))
    const wasReady = 'readiness' in Object.fromEntries(ports) && await isReady(this.fleet, machine)
    const missing: string[] = []
    for (const [name, port] of ports) {
      const connection = await tryConnection(ip, port)
      if (connection !== 'accepted') missing.push(name)
      // Both before and after, of the same process: one that is stopped in between is ready before and refuses callers after.
      if (name === 'callers' && connection === 'refused' && wasReady && await isReady(this.fleet, machine) && machine.process === process) this.#violations.add(`${machine.name} said that it is ready while callers were refused`)
    }
    const { metrics } = Object.fromEntries(ports)
    return missing.includes('metrics') || await isOk(`http://${ip}:${metrics}/metrics`) ? missing : [...missing, 'no metrics']
  }
}
