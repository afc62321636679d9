/**
 * A small cluster in one operating system process, on a fake clock that only the scenario advances: the real code of entries
 * and side processes, with stand-ins for the platform, the network and the backend servers.
 */
import { Address, FailureDomain, ModelName, ProcessId, RequestKey, Revision, ServiceName, newIncarnation, newRequestId, silentLog, type HttpResponse, type Failure, type Serving } from '@finchpitch/core'
import { parseCallerRequest, type CallerRequest } from '@finchpitch/callers'
import { EngineRunner, Entry, EntryOperations, ServiceRunner, SideProcess, defaultEpochMs, keepUplink } from '@finchpitch/daemon'
import { Catalog, hashToken, acquireFencingToken, type Instance, type InstanceList } from '@finchpitch/store'
import { FakeTime, MemoryEngine, MemoryService, MemoryStore, WeightStore } from '@finchpitch/stand-ins'
import { protocolVersion } from '@finchpitch/wire'
import { ok, type Result } from 'neverthrow'
import { ProcessGate, GatedEngine, GatedInstanceList, GatedService, GatedStore, type Step } from './process-gate.js'
import { Network } from './network.js'

const token = 'quetzal-token'
const fixedRandom = (): number => 0.5

export const team = 'quetzal'
export const service = ServiceName.parse('ledger')
export const model = ModelName.parse('base-7b')
const servedService = { kind: 'service', service } as const
const servedModel = { kind: 'model', model } as const

export const testConfiguration = (note: string): unknown => ({
  teams: [{ name: team, tokens: [hashToken(token), hashToken(note)] }],
  models: [{ name: model }],
  services: [{ name: service, teams: [team] }],
  adapters: ['statement', 'letter', 'reminder'].map(name => ({
    team, name, model, versions: [{ version: 'v1', source: `${name}-v1` }, { version: 'v2', source: `${name}-v2` }], aliases: { live: 'v2' }, default: 'live'
  }))
})

interface Member {
  gate: ProcessGate
  instance: Instance
  catalog: Catalog
  close: () => void
}

export interface EntryMember extends Member {
  entry: Entry
  operations: EntryOperations
}

export interface SideMember extends Member {
  side: SideProcess
}

export interface Layout {
  services: number
  engines: number
  /** Adapter slots of each engine. */
  slots: number
}

/** What one caller got for one attempt. */
export interface AttemptResult {
  outcome: 'ran' | 'not_run' | 'unknown' | 'nothing'
  code: Failure['code'] | 'none'
  text: string
  /** Executions of the request that the backend servers had counted when the caller got the answer. */
  runsWhenAnswered: number
}

export class Cluster {
  readonly store = new MemoryStore()
  readonly network = new Network()
  readonly weights = new WeightStore({ loadsPerSecond: 9, maxFullSpeedLoads: 6, loadMs: 100 })
  readonly services: MemoryService[] = []
  readonly engines: MemoryEngine[] = []
  readonly entries: EntryMember[] = []
  readonly sides: SideMember[] = []
  /** Each change of a process's configuration revision, in order. */
  readonly revisionChanges: Array<{ process: string, revision: number, at: number }> = []
  /** Which side process sent which request to its backend server. */
  readonly executions: Array<{ process: string, label: string | undefined }> = []
  /** While set, changes to the processes don't show in the instance list. */
  instanceListFrozen = false
  /** The side process that most recently handled a request or an adapter load. */
  lastActiveSide: SideMember | undefined
  #instances: Instance[] = []
  #pendingFault: { step: Step, inject: () => void } | undefined
  #nextPort = 1
  /** Whether the registered fault was injected at its step. */
  stepReached = false

  private constructor (readonly time: FakeTime) {
    this.network.onFrame = (type, from) => {
      if (type === 'run' || type === 'head' || type === 'chunk' || type === 'end') this.#onStep(`frame.${type}`, from)
    }
  }

  static async start (layout: Layout): Promise<Cluster> {
    const cluster = new Cluster(new FakeTime())
    for (let index = 0; index < layout.services; index++) await cluster.addService(`ledger-${index}`)
    for (let index = 0; index < layout.engines; index++) await cluster.addEngine(`engine-${index}`, layout.slots)
    for (const name of ['entry-0', 'entry-1']) cluster.addEntry(name)
    await cluster.time.advance(100)
    const applied = await cluster.time.runUntilSettled(cluster.apply(0, 'first', 0))
    if (applied !== 'applied') throw new Error(`the first configuration was not accepted: ${applied}`)
    await cluster.time.advance(5000)
    return cluster
  }

  /** Registers a fault: runs `inject` once, when `step` is next reached. */
  scheduleFault (step: Step, inject: () => void): void {
    this.#pendingFault = { step, inject }
  }

  /** Injects the registered fault now if its step has not been reached. */
  injectPendingFault (): void {
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
  get activeSide (): SideMember {
    const member = this.lastActiveSide ?? this.sides[0]
    if (member === undefined) throw new Error('the cluster has no side process')
    return member
  }

  get members (): Member[] {
    return [...this.entries, ...this.sides]
  }

  kill (member: Member): void {
    member.gate.kill()
    this.network.disconnect(member.instance.process)
    member.close()
  }

  pause (member: Member): void {
    member.gate.pause()
    this.network.pause(member.instance.process)
  }

  resume (member: Member): void {
    member.gate.resume()
    this.network.resume(member.instance.process)
  }

  async apply (entry: number, note: string, base: number): Promise<string> {
    const { operations } = this.entry(entry)
    const reply = await operations.apply({ configuration: testConfiguration(note), base: Revision.parse(base), actor: note, note })
    return reply.kind
  }

  bookingRequest (key: string | undefined, text: string, firstAttempt = false): CallerRequest {
    return this.#createRequest('service', '/services/ledger/slots', Buffer.from(text), key, firstAttempt)
  }

  statementRequest (adapter: string, prompt: string, key?: string): CallerRequest {
    const body = { model: `${team}/${adapter}`, prompt, stream: key === undefined, max_tokens: 8 }
    return this.#createRequest('completion', '/v1/completions', Buffer.from(JSON.stringify(body)), key, false)
  }

  /** Sends a request to one entry and reads the answer to its end. The caller of a killed entry gets nothing. */
  async sendRequest (index: number, request: CallerRequest, label: string): Promise<AttemptResult> {
    const { entry, gate } = this.entry(index)
    const seen = await this.#readAnswer(entry, request)
    if (gate.killed) return { outcome: 'nothing', code: 'none', text: '', runsWhenAnswered: this.executionCount(label) }
    await gate.waitUntilRunning()
    return { ...seen, runsWhenAnswered: this.executionCount(label) }
  }

  /** Number of executions, at all backend servers, of the request that carries `label`. */
  executionCount (label: string): number {
    const changes = this.services.flatMap(service => service.changes).filter(text => text === label)
    const generations = this.engines.flatMap(engine => engine.runs).filter(({ prompt }) => prompt === label)
    return changes.length + generations.length
  }

  close (): void {
    for (const member of this.members) member.close()
    this.time.restore()
  }

  addEntry (name: string): void {
    const { gate, instance, catalog } = this.#createMember(name, 'all', undefined)
    const store = new GatedStore(gate, this.store)
    const { process, address, domain } = instance
    const entry = new Entry({
      process,
      domain,
      store,
      catalog,
      incarnation: newIncarnation(),
      address: () => address,
      instances: new GatedInstanceList(gate, this.#instanceList()),
      dial: this.network.dialFrom(process),
      log: silentLog,
      random: fixedRandom
    })
    this.network.listen(address, { process, accept: stream => entry.accept(stream) })
    const operations = new EntryOperations({ process, entry, catalog, store, random: fixedRandom })
    void entry.run()
    this.entries.push({ gate, instance, catalog, entry, operations, close: () => entry.close() })
    this.#refreshInstances()
  }

  async addService (name: string, backend = new MemoryService()): Promise<void> {
    if (!this.services.includes(backend)) this.services.push(backend)
    await this.#addSide(name, servedService, async (gate, fence, catalog) =>
      new ServiceRunner({ service: new GatedService(gate, backend), fence, capacity: 8, catalog }))
  }

  async addEngine (name: string, slots: number, backend = new MemoryEngine({ slots, capacity: 4, tokenMs: 20, weights: this.weights, checksFences: true })): Promise<void> {
    if (!this.engines.includes(backend)) this.engines.push(backend)
    await this.#addSide(name, servedModel, async (gate, fence, catalog) => {
      const engine = new GatedEngine(gate, backend)
      const report = (await engine.report())._unsafeUnwrap()
      return new EngineRunner({ model, engine, fence, report, catalog, log: silentLog, random: fixedRandom })
    })
  }

  /** Starts another side process for the backend server of one that was killed or is paused. */
  async replaceSide (member: SideMember): Promise<void> {
    const index = Number(member.instance.process.split('-')[1] ?? 0) % 10
    const name = `${member.instance.process}-next`
    if (member.instance.serving?.kind === 'service') await this.addService(name, this.services[index])
    else await this.addEngine(name, 2, this.engines[index])
  }

  async #addSide (name: string, serving: Serving, createRunner: (gate: ProcessGate, fence: number, catalog: Catalog) => Promise<ServiceRunner | EngineRunner>): Promise<void> {
    const { gate, instance, catalog } = this.#createMember(name, 'common', serving)
    const store = new GatedStore(gate, this.store)
    const { process, address, domain } = instance
    const fence = (await acquireFencingToken(store, name.replace('-next', ''), fixedRandom))._unsafeUnwrap()
    const runner = await createRunner(gate, fence, catalog)
    const incarnation = newIncarnation()
    const side = new SideProcess({ process, incarnation, domain, address: () => address, serving, runner, catalog, log: silentLog, epochMs: defaultEpochMs })
    this.network.listen(address, { process, accept: stream => side.accept(stream) })
    const closing = new AbortController()
    const hello = { type: 'hello', protocol: protocolVersion, process, incarnation, address, domain } as const
    const channel = { hello: () => ({ ...hello, revision: catalog.revision }), heartbeat: () => ({ type: 'heartbeat' as const, revision: catalog.revision }) }
    void side.run()
    void keepUplink({ process, domain, instances: async () => this.#instances, catalog, channel, dial: this.network.dialFrom(process), log: silentLog, random: fixedRandom, signal: closing.signal })
    const close = (): void => {
      closing.abort()
      side.close()
    }
    this.sides.push({ gate, instance, catalog, side, close })
    this.#refreshInstances()
  }

  #createMember (name: string, scope: 'all' | 'common', serving: Serving | undefined): Omit<Member, 'close'> {
    const process = ProcessId.parse(name)
    const address = Address.parse(`127.0.0.1:${this.#nextPort++}`)
    const role = serving === undefined ? 'entry' as const : 'side' as const
    const instance = { process, address, role, domain: FailureDomain.parse('zone-1'), leaving: false, ...(serving === undefined ? {} : { serving }) }
    const catalog = new Catalog(scope)
    catalog.onUpdate(revision => this.revisionChanges.push({ process, revision, at: Date.now() }))
    return { gate: new ProcessGate(name, (...args) => this.#onStep(...args)), instance, catalog }
  }

  #instanceList (): InstanceList {
    return { read: async () => ok(structuredClone(this.#instances)) }
  }

  #refreshInstances (): void {
    if (!this.instanceListFrozen) this.#instances = this.members.filter(({ gate }) => !gate.killed).map(({ instance }) => instance)
  }

  #onStep (step: Step, process: string, label?: string): void {
    const side = this.sides.find(({ instance }) => instance.process === process)
    if (side !== undefined && (step === 'execute' || step === 'load' || step === 'frame.head')) this.lastActiveSide = side
    if (step === 'execute') this.executions.push({ process, label })
    if (this.#pendingFault?.step !== step) return
    const { inject } = this.#pendingFault
    this.#pendingFault = undefined
    this.stepReached = true
    inject()
  }

  #createRequest (kind: 'service' | 'completion', path: string, body: Buffer, key: string | undefined, firstAttempt: boolean): CallerRequest {
    const headers = {
      authorization: `Bearer ${token}`,
      'finchpitch-patience-ms': '20000',
      ...(key === undefined ? {} : { 'idempotency-key': RequestKey.parse(key), 'finchpitch-first-try': firstAttempt ? 'yes' : 'no' })
    }
    return parseCallerRequest(kind, { id: newRequestId(), method: 'POST', path, headers, body })._unsafeUnwrap()
  }

  async #readAnswer (entry: Entry, request: CallerRequest): Promise<Omit<AttemptResult, 'runsWhenAnswered'>> {
    const disconnect = new AbortController()
    const served: Result<HttpResponse, Failure> = await entry.serve(request, disconnect.signal)
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
