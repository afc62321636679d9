/**
 * A small fleet on loopback: the platform's stand-ins and real processes of the adapter, each with an address of its
 * own as its machine.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '@finchpitch/core'
import { BackendStandIn } from './backend-server.js'
import { eventually } from './eventually.js'
import { FaultProxy } from './fault-proxy.js'
import { ObjectServer } from './object-server.js'
import type { HttpStandIn } from '../http-stand-in.js'

const program = fileURLToPath(new URL('../../../../platform/dist/start.js', import.meta.url))
const ports = { caller: 8149, ready: 8141, peer: 7380, control: 8144, app: 8145, store: 8142 }

/** A machine that needs longer to start a fleet can't run it either. */
const mostStartMs = 20_000

/** A backend server whose process has ended is back after so long. */
const downMs = 500

/** Ports of servers that stand behind something else. */
const hiddenBy = 10_000

export interface FleetOptions {
  /** The second number of all its addresses, so that fleets of one machine don't meet. */
  network: number
  domains: number
  entriesPerDomain: number
  enginesPerDomain: number
  plainPerDomain: number
  places: number
  loadMs: number
  workMs: number
  events: number
  eventMs: number
  /** When all backend servers started, as they say; they say nothing of it without. */
  bornAt?: number
  bounds?: Record<string, number>
  nodeOptions?: string[]
  /** Each entry reaches the store through a proxy of its own. */
  storeFronts?: boolean
  /** Puts something between a server and its address: listens at `ip:port` for what listens at `ip:target`. */
  between?: (ip: string, port: number, target: number) => Promise<void>
  /** Program and arguments before the role; the compiled adapter by default. */
  program?: string
}

export interface Machine {
  name: string
  ip: string
  process: ChildProcess | undefined
  output: string[]
}

const model = 'base'
export const engineService = 'engines'
export const plainService = 'ledger'

export class FleetSystem {
  readonly store = new ObjectServer()
  readonly engines: BackendStandIn[] = []
  readonly plain: BackendStandIn[] = []
  readonly entries: Machine[] = []
  readonly sides: Machine[] = []
  /** What stands between each entry and the store, by the place of the entry; empty without `storeFronts`. */
  readonly storeFronts: FaultProxy[] = []
  /** Routes of every table beside the lasting ones. */
  moreRoutes: unknown[] = []
  readonly #places = new Map<BackendStandIn, { ip: string, domain: string }>()
  /** Backend servers whose processes have ended and are not back. */
  readonly #restarts = new Map<BackendStandIn, Promise<void>>()
  #folder = ''
  #stopped = false

  constructor (readonly options: FleetOptions) {}

  async start (): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), 'fleet-'))
    await this.#listen(this.store, this.#ip(200, 1), ports.store)
    this.store.put('config', 'main', this.table(1))
    for (let domain = 0; domain < this.options.domains; domain++) await this.#startDomain(domain)
    if (this.options.storeFronts === true) await this.#startStoreFronts()
    for (const machine of [...this.entries, ...this.sides]) await this.startProcess(machine)
    await this.#joined()
  }

  /**
   * Until each entry has joined the side processes of its domain. A start takes 0.3 s, and over 3 s beside fleets of 55
   * processes that start too: tests that waited a fixed time from the start on met processes that were not there yet.
   */
  async #joined (): Promise<void> {
    const { enginesPerDomain } = this.options
    const joins = (entry: Machine): number => this.lines(entry).filter(line => line.event === 'side.joined').length
    await eventually('all entries have joined their side processes', () => this.entries.every(entry => joins(entry) >= enginesPerDomain), mostStartMs)
  }

  /** The routing table as the operator writes it. */
  table (version: number, more: Record<string, unknown> = {}): unknown {
    const { places } = this.options
    const stream = { kind: 'stream', timeoutMs: 5000, targetLatencyMs: 600, priority: 1, service: engineService, sticky: true, gapAimMs: 400 }
    const plain = { timeoutMs: 1000, targetLatencyMs: 150, priority: 2, service: plainService, sticky: false, resumable: false }
    return {
      version,
      routes: [
        { name: 'r-stream', host: 'fleet.example', pathPrefix: '/stream/', maxAttempts: 1, resumable: false, ...stream },
        { name: 'r-resume', host: 'fleet.example', pathPrefix: '/resume/', maxAttempts: 2, resumable: true, ...stream },
        { name: 'r-once', host: 'fleet.example', pathPrefix: '/once/', kind: 'non_idempotent', maxAttempts: 1, ...plain },
        { name: 'r-again', host: 'fleet.example', pathPrefix: '/again/', kind: 'idempotent', maxAttempts: 2, ...plain },
        ...this.moreRoutes
      ],
      services: [
        { name: engineService, healthPath: '/health', maxConnections: 200, engine: { slots: 32, adapterSlots: places, weightsMb: 2000, loadsPerS: 50, models: [{ name: model, weightsMb: 1000, loadS: 0.5, adapters: 3000, adapterMb: 12 }] } },
        { name: plainService, healthPath: '/health', maxConnections: 90 }
      ],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      ...more
    }
  }

  async startProcess (machine: Machine): Promise<void> {
    const role = machine.name.startsWith('side') ? 'side' : 'entry'
    const path = join(this.#folder, `${machine.name}.toml`)
    await writeFile(path, this.#settings(machine, role))
    const started = spawn(process.execPath, [...this.options.nodeOptions ?? [], this.options.program ?? program, role], {
      env: { ...process.env, FINCHPITCH_CONFIG: path }, stdio: ['ignore', 'pipe', 'inherit']
    })
    started.stdout.setEncoding('utf8').on('data', (text: string) => machine.output.push(...text.split('\n').filter(line => line !== '')))
    machine.process = started
  }

  /** The log lines of a machine's processes, parsed. */
  lines (machine: Machine): Array<Record<string, unknown>> {
    return machine.output.map(line => JSON.parse(line) as Record<string, unknown>)
  }

  /** Keeps the lines of all machines in a file, for a failure that may not come back; gives its path. */
  async keepLines (name: string): Promise<string> {
    const path = join(tmpdir(), `fleet-${name.replaceAll(/\W+/g, '-')}-${Date.now()}.jsonl`)
    const lines = [...this.entries, ...this.sides].flatMap(machine => machine.output)
    await writeFile(path, `${lines.join('\n')}\n`)
    return path
  }

  callerAddress (entry = 0): { host: string, port: number } {
    return { host: this.entries[entry]?.ip ?? '', port: ports.caller }
  }

  readyUrl (entry = 0): string {
    return `http://${this.entries[entry]?.ip ?? ''}:${ports.ready}/v1/readiness`
  }

  /** Lists a backend server again, where it was listed before. */
  list (server: BackendStandIn, state = 'ready'): void {
    const { ip, domain } = this.#places.get(server) ?? { ip: '', domain: '' }
    this.register(server, ip, domain, state)
  }

  /** Registers a backend server, as it does itself with its heartbeat. */
  register (server: BackendStandIn, ip: string, domain: string, state = 'ready'): void {
    const engine = server.options.engine
    this.#places.set(server, { ip, domain })
    this.store.put('servers', server.id, {
      ...(server.bornAt === undefined ? {} : { born: server.bornAt }),
      service: engine === undefined ? plainService : engineService,
      address: `${ip}:${ports.app}`,
      zone: domain,
      version: 'v1',
      slots: engine === undefined ? 6 : 32,
      state,
      coldRemainingMs: 0,
      models: engine === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
      sequence: server.sequence
    })
  }

  async stop (): Promise<void> {
    this.#stopped = true
    await Promise.all([...this.entries, ...this.sides].map(machine => this.kill(machine)))
    await Promise.all(this.#restarts.values())
    await Promise.all([this.store, ...this.storeFronts, ...this.engines, ...this.plain].map(each => each.stop()))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async kill (machine: Machine, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const started = machine.process
    if (started === undefined || started.exitCode !== null || started.signalCode !== null) return
    const ended = once(started, 'exit')
    started.kill(signal)
    await ended
  }

  async #startDomain (domain: number): Promise<void> {
    const { entriesPerDomain, enginesPerDomain, plainPerDomain, places, loadMs, workMs, events, eventMs } = this.options
    const name = `d${domain}`
    for (let each = 0; each < entriesPerDomain; each++) {
      this.entries.push({ name: `entry-${name}-${each}`, ip: this.#ip(domain, 10 + each), process: undefined, output: [] })
    }
    for (let each = 0; each < enginesPerDomain; each++) {
      const ip = this.#ip(domain, 100 + each)
      const server = new BackendStandIn({ id: `engine-${name}-${each}`, engine: { model, places, loadMs }, workMs, events, eventMs })
      await this.#listen(server, ip, ports.app)
      server.ending = () => this.#end(server, ip, name)
      server.bornAt = this.options.bornAt
      this.engines.push(server)
      this.register(server, ip, name)
      this.sides.push({ name: `side-${name}-${each}`, ip, process: undefined, output: [] })
    }
    for (let each = 0; each < plainPerDomain; each++) {
      const ip = this.#ip(domain, 200 + each)
      const server = new BackendStandIn({ id: `plain-${name}-${each}`, workMs, events, eventMs })
      await this.#listen(server, ip, ports.app)
      server.ending = () => this.#end(server, ip, name)
      server.bornAt = this.options.bornAt
      this.plain.push(server)
      this.register(server, ip, name)
    }
  }

  /** Its process ends once, whatever else it ran would end it too: two that start again would both listen, one of them for good. */
  #end (server: BackendStandIn, ip: string, domain: string): void {
    if (this.#restarts.has(server)) return
    this.#restarts.set(server, this.#restart(server, ip, domain).finally(() => this.#restarts.delete(server)))
  }

  /** A backend server's process ends at once, and is back a moment later: empty, under another id, and in the list. */
  async #restart (server: BackendStandIn, ip: string, domain: string): Promise<void> {
    const former = server.id
    await server.stop()
    await pause(downMs)
    if (this.#stopped) return
    server.restart(`${former}-again`)
    await server.start(ip, this.options.between === undefined ? ports.app : ports.app + hiddenBy)
    this.store.remove('servers', former)
    this.register(server, ip, domain)
  }

  async #listen (server: HttpStandIn, ip: string, port: number): Promise<void> {
    const { between } = this.options
    await server.start(ip, between === undefined ? port : port + hiddenBy)
    await between?.(ip, port, port + hiddenBy)
  }

  async #startStoreFronts (): Promise<void> {
    for (const entry of this.entries) {
      const front = new FaultProxy()
      await front.start(this.#storeIp(entry), ports.store, ports.store, this.#ip(200, 1))
      this.storeFronts.push(front)
    }
  }

  /** Where a machine finds the store. */
  #storeIp (machine: Machine): string {
    const place = this.options.storeFronts === true ? this.entries.indexOf(machine) : -1
    return this.#ip(200, 2 + place)
  }

  #ip (domain: number, machine: number): string {
    return `127.${this.options.network}.${domain}.${machine}`
  }

  #settings (machine: Machine, role: 'entry' | 'side'): string {
    const [, domain = 'd0'] = machine.name.split('-')
    const bounds = { drainMs: 2000, graceS: 8, version_ms: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, ceilingWindowS: 5, originOverage: 1.1, ...this.options.bounds }
    return [
      `node = "${machine.name}"`,
      `ip = "${machine.ip}"`,
      `zone = "${domain}"`,
      `portRange = [${ports.peer},${ports.peer + 15}]`,
      `seeds = [${this.entries.map(entry => `"${entry.ip}:${ports.control}"`).join(',')}]`,
      ...(role === 'side' ? [`app = "${machine.ip}:${ports.app}"`] : []),
      '[listen]',
      ...(role === 'entry' ? [`front = "${machine.ip}:${ports.caller}"`, `ready = "${machine.ip}:${ports.ready}"`, `control = "${machine.ip}:${ports.control}"`] : []),
      '[bounds]',
      ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
      '[provider]',
      `address = "${this.#storeIp(machine)}:${ports.store}"`,
      ''
    ].join('\n')
  }
}
