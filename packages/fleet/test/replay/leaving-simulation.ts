/**
 * Random histories of leaving servers: entries and side processes in one process, on a faked clock, connected in memory, with a store.
 *
 * Servers are added, drain, are removed and listed again while processes start, stall, lose the store and lag behind. At intervals, the
 * servers that each undisturbed entry would send requests to are compared with the store. A process that stalls gets nothing while it
 * does, but its timers run: what it sends is then older than what waits for it, as after a stall of a real process.
 */
import { Duplex } from 'node:stream'
import { Address, FailureDomain, ProcessId, Revision, newIncarnation, silentLog } from '@finchpitch/core'
import { EntryProcess, Facts, SideCounters, SideProcess, nowMs, removalRevisionStep, type BackendServer, type EngineControl, type Fact, type FactPage, type FactSource, type Limits, type RoutingTable, type StoreFailure } from '@finchpitch/fleet'
import { headerNames } from '@finchpitch/platform'
import { FakeTime } from '@finchpitch/stand-ins'
import { protocolVersion, type ChannelOptions } from '@finchpitch/wire'
import { err, ok, type Result } from 'neverthrow'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface LeavingHistory {
  seed: number
  domains: number
  entriesPerDomain: number
  sidesPerDomain: number
  /** Length of the history. */
  forMs: number
  drainMs: number
  /** An entry counts as undisturbed this long after its start, a stall or an outage of its path to the store. */
  contactMs: number
  /** Delay of each message and of each answer of the store. */
  lagMs: number
}

export interface LeavingResult {
  /** Servers that an entry would have sent requests to later than the drain time after their leaving. */
  late: string[]
  /** Checks of an undisturbed entry and a leaving server. */
  checks: number
  /** Checks of an undisturbed entry and a server that was listed for longer than the drain time, and how many of these lacked it. */
  soundChecks: number
  soundMissing: number
}

const service = 'plain'
const engineService = 'engines'
const stepMs = 10
const checkIntervalMs = 100
const port = 7380
const entryPort = 8144

const limits = ({ drainMs }: LeavingHistory): Limits => ({ graceMs: 8000, drainMs, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, loadWindowMs: 5000, loadOverage: 1.1, quotaWindowMs: 8000, quotaOverage: 0, quotaSlack: 0 })

const table: RoutingTable = {
  version: 1,
  routes: [{ name: 'r', host: 'h', pathPrefix: '/', kind: 'repeatable', timeoutMs: 1000, objectiveMs: 100, priority: 1, maxAttempts: 2, resumable: false, targets: [{ service, weight: 1 }] }],
  services: [{ name: service, maxConnections: 10 }, { name: engineService, maxConnections: 10, engine: { batchSize: 8, adapterSlots: 4, weightMemoryMb: 100, loadsPerSecond: 1, models: [] } }],
  limits: { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
}

const idleEngine: EngineControl = {
  status: async () => ok({ models: [], coming: [], busy: false, orders: 0, waiting: 0, running: 0, cacheUsed: 0, cacheTotal: 1 }),
  order: async () => ({ outcome: 'refused', detail: '' })
}

/** What the store has done to a server, and when. */
interface ServerHistory {
  readySince: number | undefined
  leftAt: number | undefined
}

class SimulatedStore {
  revision = 1
  readonly facts = new Map<string, Fact>()
  readonly servers = new Map<string, ServerHistory>()
  readonly #events: Array<{ fact: Fact, at: number }> = []

  put (fact: Fact): void {
    this.revision += 1
    const written = { ...fact, revision: this.revision } as Fact
    this.facts.set(`${fact.kind} ${fact.key}`, written)
    this.#events.push({ fact: written, at: this.revision })
  }

  list (kind: Fact['kind']): FactPage {
    return { facts: [...this.facts.values()].filter(fact => fact.kind === kind), revision: this.revision }
  }

  changes (kind: Fact['kind'], since: number): FactPage {
    return { facts: this.#events.filter(({ fact, at }) => fact.kind === kind && at > since).map(({ fact }) => fact), revision: this.revision }
  }

  setServer (server: BackendServer): void {
    const known = this.servers.get(server.id)
    this.put({ kind: 'server', key: server.id, revision: 0, value: server })
    if (server.leaving) this.servers.set(server.id, { readySince: undefined, leftAt: known?.leftAt ?? nowMs() })
    else this.servers.set(server.id, { readySince: known?.readySince ?? nowMs(), leftAt: undefined })
  }

  removeServer (id: string): void {
    const key = `server ${id}`
    const known = this.facts.get(key)
    if (known === undefined) return
    this.facts.delete(key)
    this.revision += 1
    this.#events.push({ fact: { kind: 'server', key: id, revision: known.revision + removalRevisionStep, value: undefined }, at: this.revision })
    this.servers.set(id, { readySince: undefined, leftAt: this.servers.get(id)?.leftAt ?? nowMs() })
  }
}

interface SimulatedProcess {
  name: string
  host: string
  domain: string
  facts: Facts
  accept: (stream: Duplex) => Promise<void>
  kill: () => void
  alive: boolean
  startedAt: number
  /** Nothing reaches the process before this time. */
  stalledUntil: number
  storeLostUntil: number
  connections: Set<Duplex>
}

export class LeavingSimulation {
  readonly #time = new FakeTime()
  readonly #random
  readonly #store = new SimulatedStore()
  readonly #processes = new Map<string, SimulatedProcess>()
  readonly #result: LeavingResult = { late: [], checks: 0, soundChecks: 0, soundMissing: 0 }
  /** Actions that are due at a time. */
  readonly #planned: Array<{ at: number, act: () => void }> = []
  #servers = 0

  constructor (private readonly history: LeavingHistory) {
    this.#random = xoroshiro128plus(history.seed)
  }

  async run (): Promise<LeavingResult> {
    const { domains, entriesPerDomain, sidesPerDomain, forMs } = this.history
    try {
      this.#store.put({ kind: 'table', key: 'table', revision: 0, value: table })
      this.#store.put({ kind: 'version', key: 'm/a', revision: 0, value: { model: 'm', adapter: 'a', version: 1 } })
      for (let domain = 0; domain < domains; domain++) {
        for (let each = 0; each < sidesPerDomain; each++) {
          this.#store.setServer({ id: `engine-${domain}-${each}`, service: engineService, address: `10.${domain}.1.${each}:1`, domain: `d${domain}`, slots: 8, leaving: false, models: [] })
          this.#startSide(domain, each)
        }
        for (let each = 0; each < entriesPerDomain; each++) this.#startEntry(domain, each)
      }
      for (let each = 0; each < 8; each++) this.#addServer()
      await this.#advance(6000, () => {})
      await this.#advance(forMs, () => this.#disturb())
      await this.#advance(6000, () => {})
      for (const each of this.#processes.values()) each.kill()
      await this.#time.advance(20_000)
      return this.#result
    } finally {
      this.#time.restore()
    }
  }

  async #advance (ms: number, disturb: () => void): Promise<void> {
    const end = nowMs() + ms
    let nextAt = nowMs()
    let checkAt = nowMs()
    while (nowMs() < end) {
      await this.#time.advance(stepMs)
      const now = nowMs()
      for (const each of this.#planned.splice(0)) if (each.at <= now) each.act(); else this.#planned.push(each)
      if (now >= nextAt) {
        nextAt = now + this.#between(20, 400)
        disturb()
      }
      if (now >= checkAt) {
        checkAt = now + checkIntervalMs
        this.#check()
      }
    }
  }

  readonly #disturbances: Array<() => void> = [
    () => this.#addServer(),
    () => this.#drainServer(),
    () => this.#rewriteServer(),
    () => this.#rewriteServer(),
    () => this.#store.removeServer(this.#pickServer()),
    () => this.#store.removeServer(this.#pickServer()),
    () => this.#restart(this.#pickProcesses('entry', this.#between(1, 8))),
    () => this.#restart(this.#pickProcesses('side', this.#between(1, 3))),
    () => { for (const each of this.#pickProcesses('', this.#between(1, 4))) each.stalledUntil = nowMs() + this.#between(100, 3000) },
    () => { for (const each of this.#pickProcesses('entry', this.#between(1, 4))) each.storeLostUntil = nowMs() + this.#between(100, 4000) }
  ]

  #disturb (): void {
    const [act] = [this.#disturbances[this.#between(0, this.#disturbances.length - 1)]]
    act?.()
    if (this.#readyServers.length < 4) this.#addServer()
  }

  get #readyServers (): string[] {
    return [...this.#store.servers].filter(([id, { readySince }]) => readySince !== undefined && !id.startsWith('engine')).map(([id]) => id)
  }

  #pickServer (): string {
    const ready = this.#readyServers
    return ready[this.#between(0, Math.max(0, ready.length - 1))] ?? ''
  }

  #pickProcesses (role: string, count: number): SimulatedProcess[] {
    const all = [...this.#processes.values()].filter(each => each.alive && each.name.startsWith(role))
    return all.length === 0 ? [] : Array.from({ length: count }, () => all[this.#between(0, all.length - 1)] as SimulatedProcess)
  }

  #addServer (): void {
    this.#servers += 1
    this.#store.setServer(this.#plainServer(`plain-${this.#servers}`, false))
  }

  #plainServer (id: string, leaving: boolean): BackendServer {
    return { id, service, address: `10.9.${id.split('-')[1] ?? ''}.1:1`, domain: 'd0', slots: 8, leaving, models: [] }
  }

  #drainServer (): void {
    const id = this.#pickServer()
    if (id === '') return
    this.#store.setServer(this.#plainServer(id, true))
    this.#planned.push({ at: nowMs() + this.#between(0, 5000), act: () => this.#store.removeServer(id) })
  }

  /** Writes a server's record again as it is, which gives it a later revision. */
  #rewriteServer (): void {
    const id = this.#pickServer()
    if (id !== '') this.#store.setServer(this.#plainServer(id, false))
  }

  #restart (processes: readonly SimulatedProcess[]): void {
    for (const { name } of new Set(processes)) {
      const [role, domain, index] = name.split('-')
      this.#processes.get(name)?.kill()
      const start = (): void => role === 'entry' ? this.#startEntry(Number(domain), Number(index)) : this.#startSide(Number(domain), Number(index))
      this.#planned.push({ at: nowMs() + this.#between(100, 1500), act: start })
    }
  }

  #check (): void {
    const now = nowMs()
    const { drainMs, contactMs } = this.history
    for (const entry of this.#processes.values()) {
      if (!entry.alive || !entry.name.startsWith('entry')) continue
      if (now - Math.max(entry.startedAt, entry.stalledUntil, entry.storeLostUntil) < contactMs) continue
      const eligible = new Set(entry.facts.eligibleServers(service).map(({ id }) => id))
      for (const [id, { leftAt, readySince }] of this.#store.servers) {
        if (id.startsWith('engine')) continue
        if (leftAt !== undefined && now - leftAt > drainMs) {
          this.#result.checks += 1
          if (eligible.has(id)) this.#result.late.push(`${entry.name} ${id} ${Math.round(now - leftAt)} ms after its leaving`)
        }
        if (readySince !== undefined && now - readySince > drainMs) {
          this.#result.soundChecks += 1
          if (!eligible.has(id)) this.#result.soundMissing += 1
        }
      }
    }
  }

  #startEntry (domain: number, index: number): void {
    const { entriesPerDomain, domains } = this.history
    const host = `10.${domain}.0.${index}`
    const name = `entry-${domain}-${index}`
    const facts = new Facts(silentLog, () => entry.fallbackRetentionMs)
    const simulated = this.#register(name, host, `d${domain}`, facts)
    const sources = (['table', 'server', 'version'] as const).map(kind => this.#source(simulated, kind))
    const seeds = Array.from({ length: Math.min(3, domains) }, (_, each) => `10.${each}.0.${entriesPerDomain - 1}:${entryPort}`)
    const entry: EntryProcess = new EntryProcess({ process: name, domain: `d${domain}`, sidePort: port, seeds: () => seeds, ownPeerAddress: `${host}:${entryPort}`, sources, facts, headerNames, limits: () => limits(this.history), channel: this.#channelOptions(simulated, 900), dial: address => this.#dial(simulated, address), log: silentLog })
    simulated.accept = stream => entry.accept(stream)
    simulated.kill = () => {
      this.#cutOff(simulated)
      void entry.close()
    }
    entry.run()
  }

  #startSide (domain: number, index: number): void {
    const host = `10.${domain}.1.${index}`
    const name = `side-${domain}-${index}`
    const facts = new Facts(silentLog, () => 0)
    const simulated = this.#register(name, host, `d${domain}`, facts)
    const side = new SideProcess({ process: name, domain: `d${domain}`, engineAddress: `${host}:1`, sidePort: port, dial: address => this.#dial(simulated, address), engine: idleEngine, facts, limits: () => limits(this.history), channel: this.#channelOptions(simulated, 1800), counters: new SideCounters(), log: silentLog })
    const stop = new AbortController()
    simulated.accept = stream => side.accept(stream)
    simulated.kill = () => {
      this.#cutOff(simulated)
      stop.abort()
      side.close()
    }
    void side.run(stop.signal)
  }

  #register (name: string, host: string, domain: string, facts: Facts): SimulatedProcess {
    const simulated: SimulatedProcess = { name, host, domain, facts, accept: async () => {}, kill: () => {}, alive: true, startedAt: nowMs(), stalledUntil: 0, storeLostUntil: 0, connections: new Set() }
    this.#processes.set(name, simulated)
    return simulated
  }

  #cutOff (simulated: SimulatedProcess): void {
    simulated.alive = false
    for (const each of simulated.connections) each.destroy()
  }

  #channelOptions ({ name, domain, host, facts }: SimulatedProcess, heartbeatMs: number): ChannelOptions {
    const revision = (): Revision => Revision.parse(Math.floor(facts.revision))
    const hello = { type: 'hello', protocol: protocolVersion, process: ProcessId.parse(name), incarnation: newIncarnation(), address: Address.parse(`${host}:${port}`), domain: FailureDomain.parse(domain) } as const
    return {
      hello: () => ({ ...hello, revision: revision(), complete: facts.complete }),
      heartbeat: () => ({ type: 'heartbeat', revision: revision(), complete: facts.complete, sight: facts.sight }),
      alwaysHeartbeat: true,
      heartbeatMs,
      silenceTimeoutMs: 2800
    }
  }

  async #dial (from: SimulatedProcess, address: string): Promise<Duplex> {
    const host = address.split(':')[0]
    const target = [...this.#processes.values()].find(each => each.host === host && each.alive)
    if (target === undefined || !from.alive) throw new Error('connection refused')
    const [near, far] = this.#connect(from, target)
    void target.accept(far)
    return near
  }

  /** The ends of a connection on which data waits for the lag and for the end of a stall of its receiver. */
  #connect (from: SimulatedProcess, to: SimulatedProcess): [Duplex, Duplex] {
    const make = (receiver: SimulatedProcess, owner: SimulatedProcess, other: () => Duplex): Duplex => {
      let lastAt = 0
      const deliver = (chunk: Buffer, at: number): void => {
        const dueAt = Math.max(at, receiver.stalledUntil, lastAt)
        lastAt = dueAt
        setTimeout(() => {
          if (other().destroyed) return
          if (receiver.stalledUntil > nowMs()) deliver(chunk, receiver.stalledUntil)
          else other().push(chunk)
        }, dueAt - nowMs())
      }
      const end: Duplex = new Duplex({
        read () {},
        write: (chunk: Buffer, _encoding, done) => {
          deliver(chunk, nowMs() + this.#between(1, this.history.lagMs))
          done()
        },
        destroy (error, done) {
          owner.connections.delete(end)
          if (!other().destroyed) other().destroy()
          done(error)
        }
      })
      owner.connections.add(end)
      return end
    }
    const first: Duplex = make(to, from, () => second)
    const second: Duplex = make(from, to, () => first)
    return [first, second]
  }

  #source (owner: SimulatedProcess, kind: Fact['kind']): FactSource {
    const lost = (): StoreFailure => ({ code: 'unreachable', detail: 'lost' })
    const answer = async (page: FactPage): Promise<Result<FactPage, StoreFailure>> => {
      await this.#wait(Math.max(this.#between(1, this.history.lagMs), owner.stalledUntil - nowMs()))
      return owner.alive && nowMs() >= owner.storeLostUntil ? ok(page) : err(lost())
    }
    return {
      kind,
      list: async () => await answer(this.#store.list(kind)),
      changes: async (revision, waitMs, signal) => {
        const until = nowMs() + waitMs
        while (nowMs() < until && !signal.aborted && this.#store.changes(kind, revision).facts.length === 0) await this.#wait(stepMs)
        return signal.aborted ? err(lost()) : await answer(this.#store.changes(kind, revision))
      }
    }
  }

  async #wait (ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms))
  }

  #between (min: number, max: number): number {
    return uniformInt(this.#random, min, max)
  }
}
