/**
 * Starts real entry and side processes, for the demo, the process tests and the benchmarks.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { EventEmitter, once } from 'node:events'
import { createRequire } from 'node:module'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { Address, FailureDomain, ProcessId, type Serving } from '@finchpitch/core'
import { hashToken, type Instance } from '@finchpitch/store'

const binary = createRequire(import.meta.url).resolve('@finchpitch/daemon/bin/finchpitchd.js')

export const operatorToken = 'operators-only'

export interface DaemonOptions {
  role: 'entry' | 'side'
  process: string
  domain: string
  platform: string
  flags?: Record<string, string | number>
}

/** The log lines that a process has written so far. */
export class LogLines {
  readonly all: Array<Record<string, unknown>> = []
  readonly #added = new EventEmitter()

  constructor (input: Readable) {
    createInterface({ input }).on('line', line => {
      this.all.push(JSON.parse(line) as Record<string, unknown>)
      this.#added.emit('line')
    })
  }

  /** Resolves to the first line with this event, which may still have to be written. */
  async find (event: string): Promise<Record<string, unknown>> {
    for (;;) {
      const line = this.all.find(each => each.event === event)
      if (line !== undefined) return line
      await once(this.#added, 'line')
    }
  }
}

/** A process that has been spawned and may not listen yet. */
export interface SpawnedDaemon {
  child: ChildProcess
  log: LogLines
}

/** The script and its parameters. */
export const daemonCommand = (options: DaemonOptions): string[] => {
  const flags = {
    process: options.process,
    domain: options.domain,
    platform: options.platform,
    host: '127.0.0.1',
    'peer-port': 0,
    'operator-port': 0,
    'operator-token-hash': hashToken(operatorToken),
    ...(options.role === 'entry' ? { 'caller-port': 0, 'notice-ms': 0 } : {}),
    ...options.flags
  }
  const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)])
  return [binary, options.role, ...args]
}

export const spawnDaemon = (options: DaemonOptions): SpawnedDaemon => {
  const child = spawn(process.execPath, daemonCommand(options), { stdio: ['ignore', 'pipe', 'pipe'] })
  return { child, log: new LogLines(child.stdout) }
}

export class Daemon {
  private constructor (readonly options: DaemonOptions, readonly child: ChildProcess, readonly log: LogLines, readonly listening: Record<string, string>) {
  }

  /** Starts a process and resolves once it listens; rejects if it exits before, with what it wrote to stderr. */
  static async start (options: DaemonOptions): Promise<Daemon> {
    const { child, log } = spawnDaemon(options)
    const startupErrors: string[] = []
    const collect = (text: Buffer): number => startupErrors.push(text.toString())
    child.stderr?.on('data', collect)
    const exited = once(child, 'exit').then(([code]) => { throw new Error(`${options.process} ended with ${String(code)}: ${startupErrors.join('')}`) })
    const addresses = await Promise.race([log.find('listening'), exited])
    exited.catch(() => {})
    child.stderr?.off('data', collect)
    return new Daemon(options, child, log, addresses as Record<string, string>)
  }

  url (listener: 'callers' | 'operators'): string {
    return `http://${this.listening[listener] ?? ''}`
  }

  /** Returns the process's entry in the platform's instance list. */
  instance (serving?: Serving): Instance {
    const { role, process, domain } = this.options
    return {
      role,
      leaving: false,
      process: ProcessId.parse(process),
      domain: FailureDomain.parse(domain),
      address: Address.parse(this.listening.peers),
      ...(serving === undefined ? {} : { serving })
    }
  }

  signal (signal: NodeJS.Signals): void {
    this.child.kill(signal)
  }

  /** Sends a signal and waits for the process to exit. Returns its exit code, or the signal that terminated it. */
  async stop (signal: NodeJS.Signals = 'SIGTERM'): Promise<number | string | null> {
    const ended = this.child.exitCode ?? this.child.signalCode
    if (ended !== null) return ended
    const exited = once(this.child, 'exit') as Promise<[number | null, string | null]>
    this.child.kill(signal)
    const [code, exitSignal] = await exited
    return code ?? exitSignal
  }
}
