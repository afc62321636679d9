/**
 * A small fleet on loopback: real entry and side processes, started as the platform starts them, with stand-ins for the store and the
 * backend servers. Each machine of the fleet has its own loopback address.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pause } from '@finchpitch/core'
import { BackendStandIn } from './backend-server.js'
import { eventually } from './eventually.js'
import { FaultProxy } from './fault-proxy.js'
import { MemoryLimit } from './memory-limit.js'
import { ObjectServer } from './object-server.js'
import { platformCommand, type Role } from './platform-command.js'
import type { HttpStandIn } from '../http-stand-in.js'

/** The port on which side processes listen for their peers. */
export const peerPort = 7380
const ports = { metrics: 9464, caller: 8149, ready: 8141, peer: peerPort, control: 8144, app: 8145, store: 8142 }

/** Memory limit of a process of each role, unless a test has its own. */
const memoryMb: Record<Role, number> = { entry: 350, side: 282 }

/** A host that needs longer to start the fleet is too slow to run the tests. */
const maxStartMs = 20_000

/** Time after which a crashed backend server restarts. */
const restartDelayMs = 500

/** Time after which the platform starts a process again that has ended by itself. */
const supervisorDelayMs = 300

/** Offset of the port of a server that has a proxy at its own address. */
const proxiedPortOffset = 10_000

export interface FleetOptions {
  /** The second octet of all addresses, so that fleets on one host do not share addresses. */
  network: number
  domains: number
  entriesPerDomain: number
  enginesPerDomain: number
  plainServersPerDomain: number
  adapterSlots: number
  /** Slots of each plain server, which then rejects requests while its queue is full; without it, servers state 6 and run all at once. */
  plainSlots?: number
  loadMs: number
  workMs: number
  events: number
  eventMs: number
  /** The start time that all backend servers report; without it, they report none. */
  bornAt?: number
  bounds?: Record<string, number>
  /** Routes that every routing table contains in addition to the fixed ones. */
  routes?: readonly object[]
  maxBodyBytes?: number
  /** Teams that every routing table contains. All routes are then public, so that requests without a key are served too. */
  tenants?: readonly unknown[]
  /** Flags of the runtime, in addition to those of the platform's command. */
  nodeOptions?: readonly string[]
  /** Memory limits that replace those of the roles. A process that exceeds its limit is killed. */
  memoryMb?: Partial<Record<Role, number>>
  /** How many file descriptors a process of each role may have open; by default, as many as this process. */
  maxFds?: Partial<Record<Role, number>>
  /** Whether each entry connects to the store through its own proxy. */
  storeProxies?: boolean
  /** Called for each stand-in to start a proxy in front of it, which listens at `ip:port` and forwards to `ip:target`. */
  insertProxy?: (ip: string, port: number, target: number) => Promise<void>
  /** The repository whose program the processes run; this one by default. */
  folder?: string
}

export interface Machine {
  name: string
  ip: string
  process: ChildProcess | undefined
  /** Of the process that runs or ran last. */
  memory: MemoryLimit | undefined
  output: string[]
}

/** How a settings file is written in place: for `ms` it is empty, and for another `ms` it ends after `share` of its text. */
export interface GradualWrite {
  ms: number
  /** From 0 to 1. */
  share: number
}

/** The end of a process. */
export interface ProcessExit {
  machine: string
  /** How long the process ran, in ms. */
  ranMs: number
  /** Whether the process had written to its log. */
  started: boolean
  /** Signals that the test had sent to the process before it had written to its log. */
  earlySignals: NodeJS.Signals[]
  /** Peak of its resident memory, in MB. */
  peakMb: number
  /** Whether it was killed because its memory exceeded the limit. */
  outOfMemory: boolean
  code: number | null
  signal: NodeJS.Signals | null
}

const roleOf = (machine: Machine): Role => machine.name.startsWith('side') ? 'side' : 'entry'

const model = 'base'
export const engineService = 'engines'
export const plainService = 'ledger'

export class FleetSystem {
  readonly store = new ObjectServer()
  readonly engines: BackendStandIn[] = []
  readonly plainServers: BackendStandIn[] = []
  readonly entries: Machine[] = []
  readonly sides: Machine[] = []
  /** The proxies between the entries and the store, by index of the entry; empty unless enabled by the option of this name. */
  readonly storeProxies: FaultProxy[] = []
  /** Processes that ended although the test did not end them. As on the platform, each is started again after a short delay. */
  readonly unexpectedExits: ProcessExit[] = []
  /** Ends of processes that the test ordered to stop. */
  readonly stops: ProcessExit[] = []
  /** Number of processes that were started so far. */
  starts = 0
  /** Routes that tables written from now on contain in addition to the fixed ones. */
  extraRoutes: unknown[] = []
  readonly #locations = new Map<BackendStandIn, { ip: string, domain: string }>()
  /** Processes that the test has ended, with the signal by which it did. */
  readonly #killed = new WeakMap<ChildProcess, NodeJS.Signals>()
  /** All processes that run, also those that have been replaced. */
  readonly #running = new Set<ChildProcess>()
  /** Machines whose process the test has ended and not started again. */
  readonly #down = new Set<Machine>()
  readonly #earlySignals = new WeakMap<ChildProcess, NodeJS.Signals[]>()
  readonly #peakMb: Record<Role, number> = { entry: 0, side: 0 }
  /** Timers of restarts by the platform. */
  readonly #supervisorTimers = new Map<Machine, NodeJS.Timeout>()
  /** Backend servers that have crashed and not restarted yet. */
  readonly #pendingRestarts = new Map<BackendStandIn, Promise<void>>()
  /** Machines whose log nobody reads for now. */
  readonly #unreadLogs = new Set<Machine>()
  #folder = ''
  #stopped = false

  constructor (readonly options: FleetOptions) {}

  async start (): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), 'fleet-'))
    await this.#listen(this.store, this.#ip(200, 1), ports.store)
    this.store.put('config', 'main', this.table(1))
    for (let domain = 0; domain < this.options.domains; domain++) await this.#startDomain(domain)
    if (this.options.storeProxies === true) await this.#startStoreProxies()
    for (const machine of [...this.entries, ...this.sides]) await this.startProcess(machine)
    await this.#waitForSides()
  }

  /**
   * Resolves once each entry is connected to the side processes of its domain. A start takes 0.3 s, but over 3 s while fleets of 55
   * processes start on the same host: tests that waited a fixed time ran before all processes were ready.
   */
  async #waitForSides (): Promise<void> {
    const { enginesPerDomain } = this.options
    const connections = (entry: Machine): number => this.lines(entry).filter(line => line.event === 'side.joined').length
    await eventually('all entries are connected to their side processes', () => this.entries.every(entry => connections(entry) >= enginesPerDomain), maxStartMs)
  }

  /** Returns a routing table as the operator writes it to the store; `overrides` replaces top-level fields. */
  table (version: number, overrides: Record<string, unknown> = {}): unknown {
    const { adapterSlots, tenants, routes = [], maxBodyBytes = 4194304 } = this.options
    const access = tenants === undefined ? {} : { public: true }
    const stream = { kind: 'stream', timeoutMs: 5000, targetLatencyMs: 600, priority: 1, service: engineService, sticky: true, gapAimMs: 400 }
    const plain = { timeoutMs: 1000, targetLatencyMs: 150, priority: 2, service: plainService, sticky: false, resumable: false }
    return {
      version,
      routes: [
        { name: 'r-stream', host: 'fleet.example', pathPrefix: '/stream/', maxAttempts: 1, resumable: false, ...stream },
        { name: 'r-resume', host: 'fleet.example', pathPrefix: '/resume/', maxAttempts: 2, resumable: true, ...stream },
        { name: 'r-once', host: 'fleet.example', pathPrefix: '/once/', kind: 'non_idempotent', maxAttempts: 1, ...plain },
        { name: 'r-again', host: 'fleet.example', pathPrefix: '/again/', kind: 'idempotent', maxAttempts: 2, ...plain },
        ...routes,
        ...this.extraRoutes as object[]
      ].map(route => ({ ...access, ...route })),
      ...(tenants === undefined ? {} : { tenants }),
      services: [
        { name: engineService, healthPath: '/health', maxConnections: 200, engine: { slots: 32, adapterSlots, weightsMb: 2000, loadsPerS: 50, models: [{ name: model, weightsMb: 1000, loadS: 0.5, adapters: 3000, adapterMb: 12 }] } },
        { name: plainService, healthPath: '/health', maxConnections: 90 }
      ],
      limits: { maxHeaderBytes: 16384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      ...overrides
    }
  }

  /** Starts a process, if `write` is given while its settings are being written. Resolves once they are complete. */
  async startProcess (machine: Machine, write?: GradualWrite): Promise<void> {
    this.#cancelSupervisor(machine)
    this.#down.delete(machine)
    const written = this.writeSettings(machine, write)
    this.#spawn(machine)
    await written
  }

  /** Writes the settings of a machine in place: at once, or gradually. */
  async writeSettings (machine: Machine, write?: GradualWrite): Promise<void> {
    const text = this.#settings(machine, roleOf(machine))
    // Not asynchronous: a process that is started next must find the file cut off.
    const put = (part: string): void => writeFileSync(this.#settingsPath(machine), part)
    if (write !== undefined) {
      put('')
      await pause(write.ms)
      put(text.slice(0, Math.floor(text.length * write.share)))
      await pause(write.ms)
    }
    put(text)
  }

  /** Orders the process of a machine to stop and starts the next one after `ms`, even if it still runs. Resolves once it has exited. */
  async replaceProcess (machine: Machine, ms: number, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const exited = this.kill(machine, signal)
    await pause(ms)
    await this.startProcess(machine)
    await exited
  }

  /** Sends a signal that is not meant to end the process, or one that repeats the order to stop. */
  signal (child: ChildProcess | undefined, signal: NodeJS.Signals): void {
    if (child === undefined) return
    this.#earlySignals.get(child)?.push(signal)
    child.kill(signal)
  }

  /** Leaves the log of a machine unread, also that of processes started from now on. What they write stays in the pipe until it is full. */
  pauseLog (machine: Machine): void {
    this.#unreadLogs.add(machine)
    machine.process?.stdout?.pause()
  }

  resumeLog (machine: Machine): void {
    this.#unreadLogs.delete(machine)
    machine.process?.stdout?.resume()
  }

  /** Whether the test has ended the process of a machine and not started the next one. */
  isDown (machine: Machine): boolean {
    return this.#down.has(machine)
  }

  /** The ports on which the process of a machine listens, by name. */
  listeningPorts (machine: Machine): Record<string, number> {
    const { caller, ready, control, peer, metrics } = ports
    return roleOf(machine) === 'entry' ? { callers: caller, readiness: ready, peers: control, metrics } : { peers: peer, metrics }
  }

  /** Peak of the resident memory of all processes of a role so far, in MB. */
  peakMb (role: Role): number {
    const current = [...this.entries, ...this.sides].filter(machine => roleOf(machine) === role).map(({ memory }) => memory?.peakMb ?? 0)
    return Math.round(Math.max(this.#peakMb[role], ...current))
  }

  #spawn (machine: Machine): void {
    const role = roleOf(machine)
    const { folder, nodeOptions = [] } = this.options
    const { flags, script } = platformCommand(role, folder)
    const command = [process.execPath, ...flags, ...nodeOptions, script, role]
    const maxFds = this.options.maxFds?.[role]
    const [program = '', ...parameters] = maxFds === undefined ? command : ['sh', '-c', `ulimit -n ${maxFds}; exec "$@"`, 'sh', ...command]
    const child = spawn(program, parameters, {
      env: { ...process.env, FINCHPITCH_CONFIG: this.#settingsPath(machine) }, stdio: ['ignore', 'pipe', 'inherit']
    })
    this.starts += 1
    const startedAt = performance.now()
    const memory = new MemoryLimit(child, this.#memoryMb(role))
    let started = false
    const earlySignals: NodeJS.Signals[] = []
    this.#earlySignals.set(child, earlySignals)
    let unfinishedLine = ''
    child.stdout.setEncoding('utf8').on('data', (text: string) => {
      started = true
      this.#earlySignals.delete(child)
      const lines = `${unfinishedLine}${text}`.split('\n')
      unfinishedLine = lines.pop() ?? ''
      machine.output.push(...lines.filter(line => line !== ''))
    })
    if (this.#unreadLogs.has(machine)) child.stdout.pause()
    // Otherwise its end would go unnoticed while its log is unread.
    child.on('exit', () => child.stdout.resume())
    this.#running.add(child)
    child.on('close', (code, signal) => {
      this.#running.delete(child)
      this.#peakMb[role] = Math.max(this.#peakMb[role], memory.peakMb)
      const order = this.#killed.get(child)
      if (order === 'SIGKILL') return
      const exit = { machine: machine.name, ranMs: Math.round(performance.now() - startedAt), started, earlySignals, peakMb: Math.round(memory.peakMb), outOfMemory: memory.exceeded, code, signal }
      const exits = order === undefined ? this.unexpectedExits : this.stops
      exits.push(exit)
      if (order !== undefined) return
      // It may have ended just before the test ended or replaced it.
      if (this.#down.has(machine) || machine.process !== child) return
      this.#supervisorTimers.set(machine, setTimeout(() => this.#spawn(machine), supervisorDelayMs))
    })
    machine.process = child
    machine.memory = memory
  }

  #memoryMb (role: Role): number {
    return this.options.memoryMb?.[role] ?? memoryMb[role]
  }

  #cancelSupervisor (machine: Machine): void {
    clearTimeout(this.#supervisorTimers.get(machine))
    this.#supervisorTimers.delete(machine)
  }

  #settingsPath (machine: Machine): string {
    return join(this.#folder, `${machine.name}.toml`)
  }

  /** The parsed log lines of all processes that ran on a machine. */
  lines (machine: Machine): Array<Record<string, unknown>> {
    return machine.output.map(line => JSON.parse(line) as Record<string, unknown>)
  }

  /** Writes the log lines of all machines to a file, for failures that are hard to reproduce. Returns the file's path. */
  async saveLogLines (name: string): Promise<string> {
    const path = join(tmpdir(), `fleet-${name.replaceAll(/\W+/g, '-')}-${Date.now()}.jsonl`)
    const lines = [...this.entries, ...this.sides].flatMap(machine => machine.output)
    await writeFile(path, `${lines.join('\n')}\n`)
    return path
  }

  callerAddress (entry = 0): { host: string, port: number } {
    return { host: this.entries[entry]?.ip ?? '', port: ports.caller }
  }

  metricsUrl (entry = 0): string {
    return `http://${this.entries[entry]?.ip ?? ''}:${ports.metrics}/metrics`
  }

  readyUrl (entry = 0): string {
    return `http://${this.entries[entry]?.ip ?? ''}:${ports.ready}/v1/readiness`
  }

  /** Writes the entry of an already registered backend server again, at the same address. */
  relist (server: BackendStandIn, state = 'ready'): void {
    const { ip, domain } = this.#locations.get(server) ?? { ip: '', domain: '' }
    this.register(server, ip, domain, state)
  }

  /** Writes a backend server's entry to the store, as real servers do themselves with each heartbeat. */
  register (server: BackendStandIn, ip: string, domain: string, state = 'ready'): void {
    const engine = server.options.engine
    this.#locations.set(server, { ip, domain })
    this.store.put('servers', server.id, {
      ...(server.bornAt === undefined ? {} : { born: server.bornAt }),
      service: engine === undefined ? plainService : engineService,
      address: `${ip}:${ports.app}`,
      zone: domain,
      version: server.softwareVersion,
      slots: engine === undefined ? server.options.slots ?? 6 : 32,
      state,
      coldRemainingMs: 0,
      models: engine === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
      sequence: server.sequence
    })
  }

  /** Rejects if a process has ended although the test did not end it, unless the test has taken it out of `unexpectedExits`. */
  async stop (): Promise<void> {
    this.#stopped = true
    await Promise.all([...this.entries, ...this.sides].map(machine => this.kill(machine)))
    await Promise.all([...this.#running].map(async child => await this.#end(child, 'SIGKILL')))
    await Promise.all(this.#pendingRestarts.values())
    await Promise.all([this.store, ...this.storeProxies, ...this.engines, ...this.plainServers].map(each => each.stop()))
    await rm(this.#folder, { recursive: true, force: true })
    if (this.unexpectedExits.length > 0) throw new Error(`processes ended by themselves: ${JSON.stringify(this.unexpectedExits)}`)
  }

  /** Ends the process of a machine. One that has not exited when its grace period is over is killed. */
  async kill (machine: Machine, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    this.#cancelSupervisor(machine)
    this.#down.add(machine)
    if (machine.process !== undefined) await this.#end(machine.process, signal)
  }

  async #end (child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return
    this.#killed.set(child, signal)
    const exited = once(child, 'exit')
    this.signal(child, signal)
    const timer = setTimeout(() => child.kill('SIGKILL'), this.#bounds.graceS * 1000)
    await exited
    clearTimeout(timer)
  }

  get #bounds (): Record<string, number> & { graceS: number } {
    return { drainMs: 2000, graceS: 8, version_ms: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, ceilingWindowS: 5, originOverage: 1.1, ...this.options.bounds }
  }

  async #startDomain (domain: number): Promise<void> {
    const { entriesPerDomain, enginesPerDomain, plainServersPerDomain, adapterSlots, plainSlots, loadMs, workMs, events, eventMs } = this.options
    const name = `d${domain}`
    for (let each = 0; each < entriesPerDomain; each++) {
      this.entries.push({ name: `entry-${name}-${each}`, ip: this.#ip(domain, 10 + each), process: undefined, memory: undefined, output: [] })
    }
    for (let each = 0; each < enginesPerDomain; each++) {
      const ip = this.#ip(domain, 100 + each)
      const server = new BackendStandIn({ id: `engine-${name}-${each}`, engine: { model, places: adapterSlots, loadMs }, workMs, events, eventMs })
      await this.#listen(server, ip, ports.app)
      server.onCrash = () => this.#handleCrash(server, ip, name)
      server.bornAt = this.options.bornAt
      this.engines.push(server)
      this.register(server, ip, name)
      this.sides.push({ name: `side-${name}-${each}`, ip, process: undefined, memory: undefined, output: [] })
    }
    for (let each = 0; each < plainServersPerDomain; each++) {
      const ip = this.#ip(domain, 200 + each)
      const server = new BackendStandIn({ id: `plain-${name}-${each}`, ...(plainSlots === undefined ? {} : { slots: plainSlots }), workMs, events, eventMs })
      await this.#listen(server, ip, ports.app)
      server.onCrash = () => this.#handleCrash(server, ip, name)
      server.bornAt = this.options.bornAt
      this.plainServers.push(server)
      this.register(server, ip, name)
    }
  }

  /**
   * Restarts a crashed backend server, once even if several of its requests crash it: of two concurrent restarts both would listen, and
   * one of the listeners would never be closed.
   */
  #handleCrash (server: BackendStandIn, ip: string, domain: string): void {
    if (this.#pendingRestarts.has(server)) return
    this.#pendingRestarts.set(server, this.#restart(server, ip, domain).finally(() => this.#pendingRestarts.delete(server)))
  }

  /** Stops a backend server at once and starts it again after a delay, without models, under another id, and registered in the store. */
  async #restart (server: BackendStandIn, ip: string, domain: string): Promise<void> {
    const previousId = server.id
    await server.stop()
    await pause(restartDelayMs)
    if (this.#stopped) return
    server.restart(`${previousId}-again`)
    await server.start(ip, this.options.insertProxy === undefined ? ports.app : ports.app + proxiedPortOffset)
    this.store.remove('servers', previousId)
    this.register(server, ip, domain)
  }

  /**
   * Restarts a backend server at its address, under another id, before the connections of the former one have ended. Returns a function
   * that ends these in order. Does nothing to a server that has crashed and not restarted yet.
   */
  async restartInPlace (server: BackendStandIn): Promise<() => void> {
    if (this.#pendingRestarts.has(server)) return () => {}
    const { ip, domain } = this.#locations.get(server) ?? { ip: '', domain: '' }
    const previousId = server.id
    const starting = server.startAnew()
    this.#pendingRestarts.set(server, starting.then(() => { this.#pendingRestarts.delete(server) }))
    const endFormer = await starting
    server.restart(`${previousId}-again`)
    this.store.remove('servers', previousId)
    this.register(server, ip, domain)
    return endFormer
  }

  async #listen (server: HttpStandIn, ip: string, port: number): Promise<void> {
    const { insertProxy } = this.options
    await server.start(ip, insertProxy === undefined ? port : port + proxiedPortOffset)
    await insertProxy?.(ip, port, port + proxiedPortOffset)
  }

  async #startStoreProxies (): Promise<void> {
    for (const entry of this.entries) {
      const proxy = new FaultProxy()
      await proxy.start(this.#storeIp(entry), ports.store, ports.store, this.#ip(200, 1))
      this.storeProxies.push(proxy)
    }
  }

  /** The address at which a machine reaches the store: its own proxy's, or the store's. */
  #storeIp (machine: Machine): string {
    const index = this.options.storeProxies === true ? this.entries.indexOf(machine) : -1
    return this.#ip(200, 2 + index)
  }

  #ip (domain: number, machine: number): string {
    return `127.${this.options.network}.${domain}.${machine}`
  }

  #settings (machine: Machine, role: Role): string {
    const [, domain = 'd0'] = machine.name.split('-')
    return [
      `node = "${machine.name}"`,
      `ip = "${machine.ip}"`,
      `zone = "${domain}"`,
      `portRange = [${ports.peer},${ports.peer + 15}]`,
      `seeds = [${this.entries.map(entry => `"${entry.ip}:${ports.control}"`).join(',')}]`,
      ...(role === 'side' ? [`app = "${machine.ip}:${ports.app}"`] : []),
      '[listen]',
      ...(role === 'entry' ? [`front = "${machine.ip}:${ports.caller}"`, `ready = "${machine.ip}:${ports.ready}"`, `control = "${machine.ip}:${ports.control}"`] : []),
      '[limits]',
      `memoryMb = ${this.#memoryMb(role)}`,
      ...(this.options.maxFds?.[role] === undefined ? [] : [`maxFds = ${this.options.maxFds[role]}`]),
      '[bounds]',
      ...Object.entries(this.#bounds).map(([key, value]) => `${key} = ${value}`),
      '[provider]',
      `address = "${this.#storeIp(machine)}:${ports.store}"`,
      ''
    ].join('\n')
  }
}
