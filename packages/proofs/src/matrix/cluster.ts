/**
 * A small cluster in one operating system process, on a clock that moves only as a scenario advances it: the real code of
 * entries and side processes, with stand-ins for the platform, the network and the backend servers.
 */
import { Address, FailureDomain, ModelName, ProcessId, RequestKey, Revision, ServiceName, newIncarnation, newRequestId, quietLog, type Answer, type Failure, type Serving } from '@finchpitch/core'
import { readAsk, type Ask } from '@finchpitch/callers'
import { EngineRunner, Entry, EntryOperations, ServiceRunner, Side, defaultEpochMs, keepUplink } from '@finchpitch/daemon'
import { Catalog, hashOfToken, takeFence, type Instance, type InstanceList } from '@finchpitch/store'
import { FakeTime, MemoryEngine, MemoryService, MemoryStore, WeightStore } from '@finchpitch/stand-ins'
import { protocolVersion } from '@finchpitch/wire'
import { ok, type Result } from 'neverthrow'
import { Guard, GuardedEngine, GuardedList, GuardedService, GuardedStore, type Step } from './guard.js'
import { Network } from './network.js'

const token = 'quetzal-token'
const fixedRandom = (): number => 0.5

export const team = 'quetzal'
export const service = ServiceName.parse('ledger')
export const model = ModelName.parse('base-7b')
const servedService = { kind: 'service', service } as const
const servedModel = { kind: 'model', model } as const

export const configuration = (note: string): unknown => ({
  teams: [{ name: team, tokens: [hashOfToken(token), hashOfToken(note)] }],
  models: [{ name: model }],
  services: [{ name: service, teams: [team] }],
  adapters: ['statement', 'letter', 'reminder'].map(name => ({
    team, name, model, versions: [{ version: 'v1', source: `${name}-v1` }, { version: 'v2', source: `${name}-v2` }], aliases: { live: 'v2' }, default: 'live'
  }))
})

interface Member {
  guard: Guard
  instance: Instance
  catalog: Catalog
  close: () => void
}

export interface EntryMember extends Member {
  entry: Entry
  operations: EntryOperations
}

export interface SideMember extends Member {
  side: Side
}

export interface Layout {
  services: number
  engines: number
  /** Adapter slots of each engine. */
  slots: number
}

/** What one caller got for one attempt. */
export interface Told {
  outcome: 'ran' | 'not_run' | 'unknown' | 'nothing'
  code: Failure['code'] | 'none'
  text: string
  /** Executions of the request that the backend servers had counted when the caller got the answer. */
  runsThen: number
}

export class Cluster {
  readonly store = new MemoryStore()
  readonly network = new Network()
  readonly weights = new WeightStore({ loadsPerSecond: 9, fullSpeedPlaces: 6, loadMs: 100 })
  readonly services: MemoryService[] = []
  readonly engines: MemoryEngine[] = []
  readonly entries: EntryMember[] = []
  readonly sides: SideMember[] = []
  /** Each change of a process's configuration revision, in order. */
  readonly moves: Array<{ process: string, revision: number, at: number }> = []
  /** Which side process sent which request to its backend server. */
  readonly executions: Array<{ process: string, label: string | undefined }> = []
  /** While set, changes to the processes don't show in the instance list. */
  listLags = false
  /** The side process that most recently handled a request or an adapter load. */
  lastSide: SideMember | undefined
  #instances: Instance[] = []
  #pendingFault: { step: Step, inject: () => void } | undefined
  #nextPort = 1
  /** Whether the registered fault was injected at its step. */
  struck = false

  private constructor (readonly time: FakeTime) {
    this.network.spot = (type, from) => {
      if (type === 'run' || type === 'head' || type === 'chunk' || type === 'end') this.#onStep(`frame.${type}`, from)
    }
  }

  static async start (layout: Layout): Promise<Cluster> {
    const cluster = new Cluster(new FakeTime())
    for (let index = 0; index < layout.services; index++) await cluster.addService(`ledger-${index}`)
    for (let index = 0; index < layout.engines; index++) await cluster.addEngine(`engine-${index}`, layout.slots)
    for (const name of ['entry-0', 'entry-1']) cluster.addEntry(name)
    await cluster.time.pass(100)
    const applied = await cluster.time.until(cluster.apply(0, 'first', 0))
    if (applied !== 'applied') throw new Error(`the first configuration was not accepted: ${applied}`)
    await cluster.time.pass(5000)
    return cluster
  }

  /** Registers a fault: runs `inject` once, when `step` is next reached. */
  arm (step: Step, inject: () => void): void {
    this.#pendingFault = { step, inject }
  }

  /** Injects the registered fault now if its step has not been reached. */
  strikeAtLast (): void {
    const pendingFault = this.#pendingFault
    this.#pendingFault = undefined
    pendingFault?.inject()
  }

  entry (index: number): EntryMember {
    const member = this.entries[index]
    if (member === undefined) throw new Error(`no entry with index ${index}`)
    return member
  }

  /** The side process that most recently handled a request or an adapter load, or the first one if none has. */
  get busySide (): SideMember {
    const member = this.lastSide ?? this.sides[0]
    if (member === undefined) throw new Error('the cluster has no side process')
    return member
  }

  get members (): Member[] {
    return [...this.entries, ...this.sides]
  }

  kill (member: Member): void {
    member.guard.kill()
    this.network.kill(member.instance.process)
    member.close()
  }

  pause (member: Member): void {
    member.guard.pause()
    this.network.freeze(member.instance.process)
  }

  resume (member: Member): void {
    member.guard.resume()
    this.network.thaw(member.instance.process)
  }

  async apply (entry: number, note: string, base: number): Promise<string> {
    const { operations } = this.entry(entry)
    const reply = await operations.apply({ configuration: configuration(note), base: Revision.parse(base), actor: note, note })
    return reply.kind
  }

  booking (key: string | undefined, text: string, firstAttempt = false): Ask {
    return this.#createRequest('service', '/services/ledger/slots', Buffer.from(text), key, firstAttempt)
  }

  statement (adapter: string, prompt: string, key?: string): Ask {
    const body = { model: `${team}/${adapter}`, prompt, stream: key === undefined, max_tokens: 8 }
    return this.#createRequest('completion', '/v1/completions', Buffer.from(JSON.stringify(body)), key, false)
  }

  /** Sends a request to one entry and reads the answer to its end. The caller of a killed entry gets nothing. */
  async tell (index: number, request: Ask, label: string): Promise<Told> {
    const { entry, guard: gate } = this.entry(index)
    const seen = await this.#readAnswer(entry, request)
    if (gate.killed) return { outcome: 'nothing', code: 'none', text: '', runsThen: this.runs(label) }
    await gate.pass()
    return { ...seen, runsThen: this.runs(label) }
  }

  /** Number of executions, at all backend servers, of the request that carries `label`. */
  runs (label: string): number {
    const changes = this.services.flatMap(service => service.changes).filter(text => text === label)
    const generations = this.engines.flatMap(engine => engine.runs).filter(({ prompt }) => prompt === label)
    return changes.length + generations.length
  }

  close (): void {
    for (const member of this.members) member.close()
    this.time.restore()
  }

  addEntry (name: string): void {
    const { guard: gate, instance, catalog } = this.#createMember(name, 'all', undefined)
    const store = new GuardedStore(gate, this.store)
    const { process, address, domain } = instance
    const entry = new Entry({
      process,
      domain,
      store,
      catalog,
      incarnation: newIncarnation(),
      address: () => address,
      instances: new GuardedList(gate, this.#instanceList()),
      dial: this.network.dialFrom(process),
      log: quietLog,
      random: fixedRandom
    })
    this.network.listen(address, { process, accept: stream => entry.accept(stream) })
    const operations = new EntryOperations({ process, entry, catalog, store, random: fixedRandom })
    void entry.run()
    this.entries.push({ guard: gate, instance, catalog, entry, operations, close: () => entry.close() })
    this.#refreshInstances()
  }

  async addService (name: string, backend = new MemoryService()): Promise<void> {
    if (!this.services.includes(backend)) this.services.push(backend)
    await this.#addSide(name, servedService, async (gate, fence, catalog) =>
      new ServiceRunner({ service: new GuardedService(gate, backend), fence, capacity: 8, catalog }))
  }

  async addEngine (name: string, slots: number, backend = new MemoryEngine({ slots, capacity: 4, tokenMs: 20, weights: this.weights, checksFences: true })): Promise<void> {
    if (!this.engines.includes(backend)) this.engines.push(backend)
    await this.#addSide(name, servedModel, async (gate, fence, catalog) => {
      const engine = new GuardedEngine(gate, backend)
      const report = (await engine.report())._unsafeUnwrap()
      return new EngineRunner({ model, engine, fence, report, catalog, log: quietLog, random: fixedRandom })
    })
  }

  /** Starts another side process for the backend server of one that was killed or is paused. */
  async replace (member: SideMember): Promise<void> {
    const index = Number(member.instance.process.split('-')[1] ?? 0) % 10
    const name = `${member.instance.process}-next`
    if (member.instance.serving?.kind === 'service') await this.addService(name, this.services[index])
    else await this.addEngine(name, 2, this.engines[index])
  }

  async #addSide (name: string, serving: Serving, createRunner: (gate: Guard, fence: number, catalog: Catalog) => Promise<ServiceRunner | EngineRunner>): Promise<void> {
    const { guard: gate, instance, catalog } = this.#createMember(name, 'common', serving)
    const store = new GuardedStore(gate, this.store)
    const { process, address, domain } = instance
    const fence = (await takeFence(store, name.replace('-next', ''), fixedRandom))._unsafeUnwrap()
    const runner = await createRunner(gate, fence, catalog)
    const incarnation = newIncarnation()
    const side = new Side({ process, incarnation, domain, address: () => address, serving, runner, catalog, log: quietLog, epochMs: defaultEpochMs })
    this.network.listen(address, { process, accept: stream => side.accept(stream) })
    const closing = new AbortController()
    const hello = { type: 'hello', protocol: protocolVersion, process, incarnation, address, domain } as const
    const channel = { hello: () => ({ ...hello, revision: catalog.revision }), heartbeat: () => ({ type: 'heartbeat' as const, revision: catalog.revision }) }
    void side.run()
    void keepUplink({ process, domain, instances: async () => this.#instances, catalog, channel, dial: this.network.dialFrom(process), log: quietLog, random: fixedRandom, signal: closing.signal })
    const close = (): void => {
      closing.abort()
      side.close()
    }
    this.sides.push({ guard: gate, instance, catalog, side, close })
    this.#refreshInstances()
  }

  #createMember (name: string, scope: 'all' | 'common', serving: Serving | undefined): Omit<Member, 'close'> {
    const process = ProcessId.parse(name)
    const address = Address.parse(`127.0.0.1:${this.#nextPort++}`)
    const role = serving === undefined ? 'entry' as const : 'side' as const
    const instance = { process, address, role, domain: FailureDomain.parse('zone-1'), leaving: false, ...(serving === undefined ? {} : { serving }) }
    const catalog = new Catalog(scope)
    catalog.onMove(revision => this.moves.push({ process, revision, at: Date.now() }))
    return { guard: new Guard(name, (...args) => this.#onStep(...args)), instance, catalog }
  }

  #instanceList (): InstanceList {
    return { read: async () => ok(structuredClone(this.#instances)) }
  }

  #refreshInstances (): void {
    if (!this.listLags) this.#instances = this.members.filter(({ guard: gate }) => !gate.killed).map(({ instance }) => instance)
  }

  #onStep (step: Step, process: string, label?: string): void {
    const side = this.sides.find(({ instance }) => instance.process === process)
    if (side !== undefined && (step === 'execute' || step === 'load' || step === 'frame.head')) this.lastSide = side
    if (step === 'execute') this.executions.push({ process, label })
    if (this.#pendingFault?.step !== step) return
    const { inject } = this.#pendingFault
    this.#pendingFault = undefined
    this.struck = true
    inject()
  }

  #createRequest (kind: 'service' | 'completion', path: string, body: Buffer, key: string | undefined, firstAttempt: boolean): Ask {
    const headers = {
      authorization: `Bearer ${token}`,
      'finchpitch-patience-ms': '20000',
      ...(key === undefined ? {} : { 'idempotency-key': RequestKey.parse(key), 'finchpitch-first-try': firstAttempt ? 'yes' : 'no' })
    }
    return readAsk(kind, { id: newRequestId(), method: 'POST', path, headers, body })._unsafeUnwrap()
  }

  async #readAnswer (entry: Entry, request: Ask): Promise<Omit<Told, 'runsThen'>> {
    const disconnect = new AbortController()
    const served: Result<Answer, Failure> = await entry.serve(request, disconnect.signal)
    if (served.isErr()) return { outcome: served.error.outcome, code: served.error.code, text: '' }
    let text = ''
    try {
      for await (const chunk of served.value.body) text += Buffer.from(chunk).toString()
      return { outcome: 'ran', code: 'none', text }
    } catch {
      return { outcome: 'unknown', code: 'answer_cut', text }
    }
  }
}
