import { pause, silentLog, type Log } from '@finchpitch/core'
import { Facts, Freshness, KeyLease, LeaseKeeper, TableProver, hashKey, type FactPage, type FactSource, type RoutingTable, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime, FleetSystem, sendToFleet, eventually, type FleetResponse } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import fc from 'fast-check'
import { err, ok, type Result } from 'neverthrow'

/** A process of the model, with its own clock, the revision of its table, and its latest proof. */
class ModelProcess {
  revision = 0
  readonly freshness: Freshness

  constructor (readonly offset: number, private readonly model: Model) {
    this.freshness = new Freshness(() => this.now)
  }

  get now (): number {
    return this.model.time + this.offset
  }

  /** Its latest proof, converted to the model's time: it claims to know every change until then. */
  get provenUntil (): number {
    return this.freshness.provenAt - this.offset
  }
}

/** The model's time, the store's revisions over time, and the messages in transit. */
class Model {
  time = 0
  readonly #changes: Array<{ at: number, revision: number }> = [{ at: 0, revision: 1 }]
  readonly #due: Array<{ at: number, run: () => void }> = []

  change (): void {
    this.#changes.push({ at: this.time, revision: this.#changes.length + 1 })
  }

  revisionAt (time: number): number {
    return this.#changes.findLast(change => change.at <= time)?.revision ?? 0
  }

  after (ms: number, run: () => void): void {
    this.#due.push({ at: this.time + ms, run })
    this.#due.sort((a, b) => a.at - b.at)
  }

  pass (ms: number): void {
    const until = this.time + ms
    for (let next = this.#due[0]; next !== undefined && next.at <= until; next = this.#due[0]) {
      this.#due.shift()
      this.time = next.at
      next.run()
    }
    this.time = until
  }

  /** A store call; the answer has the store's state at some time during the call. */
  read (reader: ModelProcess, there: number, back: number): void {
    const startedAt = reader.now
    this.after(there, () => {
      const revision = this.revisionAt(this.time)
      this.after(back, () => {
        reader.revision = Math.max(reader.revision, revision)
        reader.freshness.prove(startedAt)
      })
    })
  }

  /** A proof request. The answerer may delay the answer, and each message may take long. */
  ask (asker: ModelProcess, asked: ModelProcess, { there, held, back, withTable }: Delays): void {
    const stamp = asker.now
    this.after(there, () => {
      const receivedAt = asked.now
      this.after(held, () => {
        const proof = asked.freshness.answer(stamp, receivedAt, asked.revision)
        const { revision } = asked
        this.after(back, () => {
          if (withTable) asker.revision = Math.max(asker.revision, revision)
          asker.freshness.accept(proof, asker.revision)
        })
      })
    })
  }
}

interface Delays { there: number, held: number, back: number, withTable: boolean }

const delay = fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 7000 }))
const processIndex = fc.integer({ min: 0, max: 4 })
const step = fc.oneof(
  fc.record({ type: fc.constant('pass' as const), ms: delay }),
  fc.record({ type: fc.constant('change' as const) }),
  fc.record({ type: fc.constant('read' as const), reader: processIndex, there: delay, back: delay }),
  fc.record({ type: fc.constant('ask' as const), asker: processIndex, asked: processIndex, there: delay, held: delay, back: delay, withTable: fc.boolean() })
)

describe('Freshness', () => {
  it('never claims a later proof than is true, whatever is delayed, suspended or reordered, and whatever the clocks show', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: -1e6, max: 1e6 }), { minLength: 5, maxLength: 5 }), fc.array(step, { maxLength: 80 }), (offsets, steps) => {
      const model = new Model()
      const processes = offsets.map(offset => new ModelProcess(offset, model))
      const at = (each: number): ModelProcess => processes[each] as ModelProcess
      for (const each of steps) {
        if (each.type === 'pass') model.pass(each.ms)
        if (each.type === 'change') model.change()
        if (each.type === 'read') model.read(at(each.reader), each.there, each.back)
        if (each.type === 'ask') model.ask(at(each.asker), at(each.asked), each)
        for (const { provenUntil, revision } of processes) {
          expect(provenUntil).to.be.at.most(model.time + 1e-6)
          if (provenUntil > -Infinity) expect(revision).to.be.at.least(model.revisionAt(provenUntil - 1e-6))
        }
      }
    }), { numRuns: 2000 })
  })

  it('gives recent proofs if nothing is delayed', () => {
    const model = new Model()
    const [reader, side, entry] = [new ModelProcess(500, model), new ModelProcess(-90_000, model), new ModelProcess(7, model)]
    model.read(reader, 2, 2)
    model.pass(5)
    model.ask(side, reader, { there: 1, held: 1, back: 1, withTable: true })
    model.pass(5)
    model.ask(entry, side, { there: 1, held: 1, back: 1, withTable: true })
    model.pass(5)
    expect(model.time - entry.provenUntil).to.be.within(12, 25)
  })

  it('rejects a proof without an age, and one for a table newer than the local one', () => {
    const freshness = new Freshness(() => 100)
    expect(freshness.accept({ type: 'fresh', stamp: 90, ageMs: 0, revision: 8 }, 7)).to.equal(false)
    expect(freshness.accept({ type: 'fresh', stamp: 90, revision: 7 }, 7)).to.equal(false)
    expect(freshness.accept({ type: 'fresh', stamp: 90, ageMs: 20, revision: 7 }, 7)).to.equal(true)
    expect(freshness.ageMs).to.equal(30)
  })
})

describe('KeyLease', () => {
  let time: FakeTime
  let facts: Facts
  const table: RoutingTable = { version: 1, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  const offer = (more: Partial<RoutingTable>): void => { facts.offer({ kind: 'table', key: 'table', revision: 1, value: { ...table, ...more } }, 'store') }

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
  })

  afterEach(() => time.restore())

  it('is not needed if the table has no teams or no revocation bound is set', () => {
    offer({})
    expect(new KeyLease(facts, () => ({ revokeMs: 5000 }))).to.include({ held: true, proofDue: false, watchDue: false })
    facts = new Facts(silentLog, () => 1000)
    offer({ teams: [{ name: 'red', keys: [hashKey('k')] }] })
    expect(new KeyLease(facts, () => ({}))).to.include({ held: true, watchDue: false })
  })

  it('is renewed before it expires, and expires well before the bound', async () => {
    offer({ teams: [{ name: 'red', keys: [hashKey('k')] }] })
    const lease = new KeyLease(facts, () => ({ revokeMs: 5000 }))
    expect(lease).to.include({ held: false, proofDue: true, watchDue: true })
    facts.freshness.prove(performance.now())
    await time.advance(1400)
    expect(lease).to.include({ held: true, proofDue: false })
    await time.advance(200)
    expect(lease).to.include({ held: true, proofDue: true, remoteProofDue: false })
    await time.advance(1000)
    expect(lease).to.include({ held: true, remoteProofDue: true, watchDue: true })
    await time.advance(1500)
    expect(lease.held).to.equal(false)
  })
})

describe('LeaseKeeper', () => {
  let time: FakeTime
  let facts: Facts
  let asked: boolean[]
  let proved: number
  let watching: boolean
  let keeper: LeaseKeeper
  let logged: unknown[]

  const pass = async (ms: number): Promise<void> => {
    for (let each = 0; each < ms; each += 100) {
      await time.advance(100)
      keeper.check()
    }
  }

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
    const table = { version: 1, routes: [], services: [], teams: [{ name: 'red', keys: [hashKey('k')] }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
    facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
    facts.freshness.prove(performance.now())
    asked = []
    proved = 0
    watching = false
    logged = []
    const lease = new KeyLease(facts, () => ({ revokeMs: 5000 }))
    const log = { info: (event: string, fields: { held?: boolean }) => { if (event === 'keys.lease_changed') logged.push(fields.held) } } as unknown as Log
    const watch = { ensureProof: async () => { proved += 1 }, get watching () { return watching } }
    const links = { requestProof: (remote: boolean) => { asked.push(remote) }, get outage () { return false } }
    keeper = new LeaseKeeper({ lease, facts, links, watch, log })
  })

  afterEach(() => time.restore())

  it('asks no peer while the proof is recent, then one after the other, and finally those in other domains too', async () => {
    await pass(1400)
    expect(asked).to.deep.equal([])
    await pass(500)
    expect(asked).to.deep.equal([false, false])
    await pass(500)
    expect(asked.slice(2)).to.include(true)
  })

  it('asks the store first if this entry watches it, and peers only if that fails', async () => {
    watching = true
    await pass(1900)
    expect(proved).to.equal(2)
    expect(asked).to.deep.equal([])
    await pass(500)
    expect(asked).to.include(true)
  })

  it('asks less often once the lease has expired, and logs its loss and renewal once each', async () => {
    await pass(4100)
    const before = asked.length
    await pass(1800)
    expect(asked.length - before).to.equal(3)
    facts.freshness.prove(performance.now())
    await pass(200)
    expect(logged).to.deep.equal([false, true])
  })
})

describe('key revocation in a fleet of real processes', function () {
  this.timeout(90_000)
  let fleet: FleetSystem
  let sent = 0
  const revokeMs = 2000
  const ask = (key: string, entry = 0, id = `revoked-${sent++}`): Promise<FleetResponse> =>
    sendToFleet(fleet, { path: '/once/x', id, entry, remainingMs: 900, headers: { authorization: `Token ${key}` } })
  const publish = (...keys: string[]): void => { fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, { tenants: [{ name: 'red', apiKeys: keys }] })) }
  const served = async (key: string, entry: number): Promise<boolean> => (await ask(key, entry)).status === 200
  const ran = (id: string): boolean => fleet.plainServers.some(server => server.startedIds.includes(id))

  before(async () => {
    fleet = new FleetSystem({
      network: 46, domains: 2, entriesPerDomain: 2, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 3, loadMs: 60, workMs: 5, events: 5, eventMs: 5, bounds: { strictRevoke: true, revokeMs } as never
    })
    await fleet.start()
  })

  beforeEach(async () => {
    publish('one', 'two')
    for (let entry = 0; entry < fleet.entries.length; entry++) await eventually(`entry ${entry} serves`, () => served('two', entry))
  })

  after(async () => { await fleet.stop() })

  it('keeps accepting the remaining keys at all entries for longer than the bound', async () => {
    for (let round = 0; round < 12; round++) {
      await pause(revokeMs / 6)
      for (let entry = 0; entry < fleet.entries.length; entry++) expect(await ask('one', entry)).to.include({ status: 200 })
    }
  })

  it('rejects requests within the bound during a store outage, with a retry delay, and serves again afterwards', async () => {
    fleet.store.fault = 'silent'
    await pause(revokeMs)
    const id = 'revoked-in-outage'
    const reply = await ask('one', 0, id)
    expect(reply.status).to.equal(503)
    expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0)
    expect(ran(id)).to.equal(false)
    fleet.store.fault = 'none'
    await eventually('it serves again', () => served('one', 0), 8000)
  })

  it('takes effect at an entry that was suspended while the key was revoked', async () => {
    const frozen = fleet.entries[1]
    frozen?.process?.kill('SIGSTOP')
    const id = 'revoked-in-freeze'
    const asked = ask('one', 1, id)
    await pause(300)
    publish('two')
    await pause(revokeMs)
    frozen?.process?.kill('SIGCONT')
    expect((await asked).status).to.be.oneOf([401, 503])
    expect(ran(id)).to.equal(false)
    await eventually('it serves again', () => served('two', 1))
    expect((await ask('one', 1)).status).to.equal(401)
  })

  it('takes effect at an entry that has just started', async () => {
    const restarted = fleet.entries[2]
    if (restarted === undefined) throw new Error('the fleet has no such entry')
    await fleet.kill(restarted)
    fleet.store.fault = 'silent'
    await pause(revokeMs)
    const starts = (): number => fleet.lines(restarted).filter(line => line.event === 'process.started').length
    const before = starts()
    await fleet.startProcess(restarted)
    // On a busy host the process alone takes over a second to start, and refuses connections until then.
    await eventually('the entry has started', () => starts() > before)
    await pause(1200)
    const id = 'revoked-at-start'
    const reply = await ask('one', 2, id)
    fleet.store.fault = 'none'
    expect(reply.status).to.equal(503)
    expect(ran(id)).to.equal(false)
    await eventually('it serves again', () => served('one', 2), 8000)
  })
})

describe('TableProver', () => {
  let time: FakeTime
  let facts: Facts
  let calls: number
  let answerMs: number
  let answer: Result<FactPage, StoreFailure>
  let prover: TableProver

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
    calls = 0
    answerMs = 4
    answer = ok({ facts: [], revision: 9 })
    const source: FactSource = {
      kind: 'table',
      list: async () => answer,
      changes: async () => {
        calls += 1
        await pause(answerMs)
        return answer
      }
    }
    prover = new TableProver(source, facts, new AbortController().signal)
    facts.markComplete('table', 9)
  })

  afterEach(() => time.restore())

  it('dates proofs from the start of the call, and shares one call among concurrent requests', async () => {
    answerMs = 400
    const asked = [prover.ensureProof(), prover.ensureProof(), prover.ensureProof()]
    await time.advance(500)
    await Promise.all(asked)
    expect(calls).to.equal(1)
    expect(facts.freshness.ageMs).to.equal(500)
    await prover.ensureProof()
    expect(calls).to.equal(1)
  })

  it('calls the store again once the last proof is no longer recent', async () => {
    await time.runUntilSettled(prover.ensureProof())
    await time.advance(800)
    await time.runUntilSettled(prover.ensureProof())
    expect(calls).to.equal(2)
  })

  it('gives no proof if the store refuses the call or the newest table can\'t be parsed', async () => {
    answer = err({ code: 'turned_away', detail: '' })
    await time.runUntilSettled(prover.ensureProof())
    answer = ok({ facts: [], revision: 10, unread: 1 })
    await time.runUntilSettled(prover.ensureProof())
    expect(facts.freshness.provenAt).to.equal(-Infinity)
  })
})
