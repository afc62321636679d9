/**
 * A small system in one process on a paused clock: the real entry and side code, with stand-ins at the interfaces.
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
const seeded = (): number => 0.5

export const team = 'quetzal'
export const service = ServiceName.parse('ledger')
export const model = ModelName.parse('base-7b')
const ledgerServing = { kind: 'service', service } as const
const modelServing = { kind: 'model', model } as const

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

/** What one caller saw of one try. */
export interface Told {
  outcome: 'ran' | 'not_run' | 'unknown' | 'nothing'
  code: Failure['code'] | 'none'
  text: string
  /** Executions of the request that the backend servers had counted when the caller was told. */
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
  /** Revisions as each process took them on, in order. */
  readonly moves: Array<{ process: string, revision: number, at: number }> = []
  /** Which side process sent which request to its backend server. */
  readonly executions: Array<{ process: string, label: string | undefined }> = []
  /** The instance list no longer changes. */
  listLags = false
  lastSide: SideMember | undefined
  #listed: Instance[] = []
  #armed: { step: Step, strike: () => void } | undefined
  #ports = 1
  struck = false

  private constructor (readonly time: FakeTime) {
    this.network.spot = (type, from) => {
      if (type === 'run' || type === 'head' || type === 'chunk' || type === 'end') this.#hit(`frame.${type}`, from)
    }
  }

  static async start (layout: Layout): Promise<Cluster> {
    const cluster = new Cluster(new FakeTime())
    for (let each = 0; each < layout.services; each++) await cluster.addService(`ledger-${each}`)
    for (let each = 0; each < layout.engines; each++) await cluster.addEngine(`engine-${each}`, layout.slots)
    for (const name of ['entry-0', 'entry-1']) cluster.addEntry(name)
    await cluster.time.pass(100)
    const applied = await cluster.time.until(cluster.apply(0, 'first', 0))
    if (applied !== 'applied') throw new Error(`the first configuration was not accepted: ${applied}`)
    await cluster.time.pass(5000)
    return cluster
  }

  /** Runs `strike` when `step` is first reached. */
  arm (step: Step, strike: () => void): void {
    this.#armed = { step, strike }
  }

  /** Strikes now if the step has not come. */
  strikeAtLast (): void {
    const armed = this.#armed
    this.#armed = undefined
    armed?.strike()
  }

  entry (index: number): EntryMember {
    const member = this.entries[index]
    if (member === undefined) throw new Error(`there is no entry ${index}`)
    return member
  }

  /** The side process that had the last request, or the first one. */
  get busySide (): SideMember {
    const member = this.lastSide ?? this.sides[0]
    if (member === undefined) throw new Error('there is a side process')
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

  booking (key: string | undefined, text: string, firstTry = false): Ask {
    return this.#ask('service', '/services/ledger/slots', Buffer.from(text), key, firstTry)
  }

  statement (adapter: string, prompt: string, key?: string): Ask {
    const body = { model: `${team}/${adapter}`, prompt, stream: key === undefined, max_tokens: 8 }
    return this.#ask('completion', '/v1/completions', Buffer.from(JSON.stringify(body)), key, false)
  }

  /** Asks through one entry and reads the answer to its end. A killed entry tells its caller nothing. */
  async tell (index: number, ask: Ask, label: string): Promise<Told> {
    const { entry, guard } = this.entry(index)
    const told = await this.#read(entry, ask)
    if (guard.killed) return { outcome: 'nothing', code: 'none', text: '', runsThen: this.runs(label) }
    await guard.pass()
    return { ...told, runsThen: this.runs(label) }
  }

  /** How often the backend servers have run the request that carries `label`. */
  runs (label: string): number {
    const changes = this.services.flatMap(each => each.changes).filter(text => text === label)
    const generations = this.engines.flatMap(each => each.runs).filter(({ prompt }) => prompt === label)
    return changes.length + generations.length
  }

  close (): void {
    for (const member of this.members) member.close()
    this.time.restore()
  }

  addEntry (name: string): void {
    const { guard, instance, catalog } = this.#member(name, 'all', undefined)
    const store = new GuardedStore(guard, this.store)
    const { process, address, domain } = instance
    const entry = new Entry({
      process,
      domain,
      store,
      catalog,
      incarnation: newIncarnation(),
      address: () => address,
      instances: new GuardedList(guard, this.#list()),
      dial: this.network.dialFrom(process),
      log: quietLog,
      random: seeded
    })
    this.network.listen(address, { process, accept: stream => entry.accept(stream) })
    const operations = new EntryOperations({ process, entry, catalog, store, random: seeded })
    void entry.run()
    this.entries.push({ guard, instance, catalog, entry, operations, close: () => entry.close() })
    this.#relist()
  }

  async addService (name: string, at = new MemoryService()): Promise<void> {
    if (!this.services.includes(at)) this.services.push(at)
    await this.#addSide(name, ledgerServing, async (guard, fence, catalog) =>
      new ServiceRunner({ service: new GuardedService(guard, at), fence, capacity: 8, catalog }))
  }

  async addEngine (name: string, slots: number, at = new MemoryEngine({ slots, capacity: 4, tokenMs: 20, weights: this.weights, checksFences: true })): Promise<void> {
    if (!this.engines.includes(at)) this.engines.push(at)
    await this.#addSide(name, modelServing, async (guard, fence, catalog) => {
      const engine = new GuardedEngine(guard, at)
      const report = (await engine.report())._unsafeUnwrap()
      return new EngineRunner({ model, engine, fence, report, catalog, log: quietLog, random: seeded })
    })
  }

  /** Another side process at the backend server of one that is gone, or seemed to be. */
  async replace (member: SideMember): Promise<void> {
    const index = Number(member.instance.process.split('-')[1] ?? 0) % 10
    const name = `${member.instance.process}-next`
    if (member.instance.serving?.kind === 'service') await this.addService(name, this.services[index])
    else await this.addEngine(name, 2, this.engines[index])
  }

  async #addSide (name: string, serving: Serving, makeRunner: (guard: Guard, fence: number, catalog: Catalog) => Promise<ServiceRunner | EngineRunner>): Promise<void> {
    const { guard, instance, catalog } = this.#member(name, 'common', serving)
    const store = new GuardedStore(guard, this.store)
    const { process, address, domain } = instance
    const fence = (await takeFence(store, name.replace('-next', ''), seeded))._unsafeUnwrap()
    const runner = await makeRunner(guard, fence, catalog)
    const incarnation = newIncarnation()
    const side = new Side({ process, incarnation, domain, address: () => address, serving, runner, catalog, log: quietLog, epochMs: defaultEpochMs })
    this.network.listen(address, { process, accept: stream => side.accept(stream) })
    const ending = new AbortController()
    const hello = { type: 'hello', protocol: protocolVersion, process, incarnation, address, domain } as const
    const channel = { hello: () => ({ ...hello, revision: catalog.revision }), heartbeat: () => ({ type: 'heartbeat' as const, revision: catalog.revision }) }
    void side.run()
    void keepUplink({ process, domain, instances: async () => this.#listed, catalog, channel, dial: this.network.dialFrom(process), log: quietLog, random: seeded, signal: ending.signal })
    const close = (): void => {
      ending.abort()
      side.close()
    }
    this.sides.push({ guard, instance, catalog, side, close })
    this.#relist()
  }

  #member (name: string, scope: 'all' | 'common', serving: Serving | undefined): Omit<Member, 'close'> {
    const process = ProcessId.parse(name)
    const address = Address.parse(`127.0.0.1:${this.#ports++}`)
    const role = serving === undefined ? 'entry' as const : 'side' as const
    const instance = { process, address, role, domain: FailureDomain.parse('zone-1'), leaving: false, ...(serving === undefined ? {} : { serving }) }
    const catalog = new Catalog(scope)
    catalog.onMove(revision => this.moves.push({ process, revision, at: Date.now() }))
    return { guard: new Guard(name, (...hit) => this.#hit(...hit)), instance, catalog }
  }

  #list (): InstanceList {
    return { read: async () => ok(structuredClone(this.#listed)) }
  }

  #relist (): void {
    if (!this.listLags) this.#listed = this.members.filter(({ guard }) => !guard.killed).map(({ instance }) => instance)
  }

  #hit (step: Step, process: string, label?: string): void {
    const side = this.sides.find(({ instance }) => instance.process === process)
    if (side !== undefined && (step === 'execute' || step === 'load' || step === 'frame.head')) this.lastSide = side
    if (step === 'execute') this.executions.push({ process, label })
    if (this.#armed?.step !== step) return
    const { strike } = this.#armed
    this.#armed = undefined
    this.struck = true
    strike()
  }

  #ask (kind: 'service' | 'completion', path: string, body: Buffer, key: string | undefined, firstTry: boolean): Ask {
    const headers = {
      authorization: `Bearer ${token}`,
      'finchpitch-patience-ms': '20000',
      ...(key === undefined ? {} : { 'idempotency-key': RequestKey.parse(key), 'finchpitch-first-try': firstTry ? 'yes' : 'no' })
    }
    return readAsk(kind, { id: newRequestId(), method: 'POST', path, headers, body })._unsafeUnwrap()
  }

  async #read (entry: Entry, ask: Ask): Promise<Omit<Told, 'runsThen'>> {
    const hangUp = new AbortController()
    const served: Result<Answer, Failure> = await entry.serve(ask, hangUp.signal)
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
