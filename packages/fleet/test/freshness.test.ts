import { pause, quietLog, type Log } from '@finchpitch/core'
import { Facts, Freshness, KeyLease, LeaseKeeper, TableProver, hashKey, type FactPage, type FactSource, type RoutingTable, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime, FleetSystem, askFleet, eventually, type Reply } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import fc from 'fast-check'
import { err, ok, type Result } from 'neverthrow'

/** A process of the model: a steady clock of its own, the table that it holds and what it believes of it. */
class Believer {
  revision = 0
  readonly freshness: Freshness

  constructor (readonly offset: number, private readonly world: World) {
    this.freshness = new Freshness(() => this.now)
  }

  get now (): number {
    return this.world.time + this.offset
  }

  /** Until when, in the world's time, it believes to know of every change. */
  get believedUntil (): number {
    return this.freshness.provenAt - this.offset
  }
}

/** Time, the store's revision over time, and messages under way. */
class World {
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

  /** The store answers with its state at some moment of the call. */
  read (reader: Believer, there: number, back: number): void {
    const began = reader.now
    this.after(there, () => {
      const revision = this.revisionAt(this.time)
      this.after(back, () => {
        reader.revision = Math.max(reader.revision, revision)
        reader.freshness.prove(began)
      })
    })
  }

  /** The asked one may sit on the question, and the answer on its way may take long. */
  ask (asker: Believer, asked: Believer, { there, held, back, withTable }: Delays): void {
    const stamp = asker.now
    this.after(there, () => {
      const cameAt = asked.now
      this.after(held, () => {
        const proof = asked.freshness.answer(stamp, cameAt, asked.revision)
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
const place = fc.integer({ min: 0, max: 4 })
const step = fc.oneof(
  fc.record({ type: fc.constant('pass' as const), ms: delay }),
  fc.record({ type: fc.constant('change' as const) }),
  fc.record({ type: fc.constant('read' as const), reader: place, there: delay, back: delay }),
  fc.record({ type: fc.constant('ask' as const), asker: place, asked: place, there: delay, held: delay, back: delay, withTable: fc.boolean() })
)

describe('freshness', () => {
  it('is never believed beyond the truth, whatever is slow, frozen or crossed, and whatever the clocks say', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: -1e6, max: 1e6 }), { minLength: 5, maxLength: 5 }), fc.array(step, { maxLength: 80 }), (offsets, steps) => {
      const world = new World()
      const processes = offsets.map(offset => new Believer(offset, world))
      const at = (each: number): Believer => processes[each] as Believer
      for (const each of steps) {
        if (each.type === 'pass') world.pass(each.ms)
        if (each.type === 'change') world.change()
        if (each.type === 'read') world.read(at(each.reader), each.there, each.back)
        if (each.type === 'ask') world.ask(at(each.asker), at(each.asked), each)
        for (const { believedUntil, revision } of processes) {
          expect(believedUntil).to.be.at.most(world.time + 1e-6)
          if (believedUntil > -Infinity) expect(revision).to.be.at.least(world.revisionAt(believedUntil - 1e-6))
        }
      }
    }), { numRuns: 2000 })
  })

  it('comes near the truth where all is well', () => {
    const world = new World()
    const [reader, side, entry] = [new Believer(500, world), new Believer(-90_000, world), new Believer(7, world)]
    world.read(reader, 2, 2)
    world.pass(5)
    world.ask(side, reader, { there: 1, held: 1, back: 1, withTable: true })
    world.pass(5)
    world.ask(entry, side, { there: 1, held: 1, back: 1, withTable: true })
    world.pass(5)
    expect(world.time - entry.believedUntil).to.be.within(12, 25)
  })

  it('takes no proof for a table that is not held here', () => {
    const freshness = new Freshness(() => 100)
    expect(freshness.accept({ type: 'fresh', stamp: 90, ageMs: 0, revision: 8 }, 7)).to.equal(false)
    expect(freshness.accept({ type: 'fresh', stamp: 90, revision: 7 }, 7)).to.equal(false)
    expect(freshness.accept({ type: 'fresh', stamp: 90, ageMs: 20, revision: 7 }, 7)).to.equal(true)
    expect(freshness.ageMs).to.equal(30)
  })
})

describe('the lease on keys', () => {
  let time: FakeTime
  let facts: Facts
  const table: RoutingTable = { version: 1, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  const offer = (more: Partial<RoutingTable>): void => { facts.offer({ kind: 'table', key: 'table', revision: 1, value: { ...table, ...more } }, 'store') }

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1000)
  })

  afterEach(() => time.restore())

  it('is not needed where the table knows no teams, or keys may be taken away in time only where processes are in touch', () => {
    offer({})
    expect(new KeyLease(facts, () => ({ revokeMs: 5000 }))).to.include({ held: true, askDue: false, watchDue: false })
    facts = new Facts(quietLog, () => 1000)
    offer({ teams: [{ name: 'red', keys: [hashKey('k')] }] })
    expect(new KeyLease(facts, () => ({}))).to.include({ held: true, watchDue: false })
  })

  it('is asked for before it ends, and ends well before the bound', async () => {
    offer({ teams: [{ name: 'red', keys: [hashKey('k')] }] })
    const lease = new KeyLease(facts, () => ({ revokeMs: 5000 }))
    expect(lease).to.include({ held: false, askDue: true, watchDue: true })
    facts.freshness.prove(performance.now())
    await time.pass(1400)
    expect(lease).to.include({ held: true, askDue: false })
    await time.pass(200)
    expect(lease).to.include({ held: true, askDue: true, askFarDue: false })
    await time.pass(1000)
    expect(lease).to.include({ held: true, askFarDue: true, watchDue: true })
    await time.pass(1500)
    expect(lease.held).to.equal(false)
  })
})

describe('keeping the lease on keys', () => {
  let time: FakeTime
  let facts: Facts
  let asked: boolean[]
  let proved: number
  let watching: boolean
  let keeper: LeaseKeeper
  let told: unknown[]

  const pass = async (ms: number): Promise<void> => {
    for (let each = 0; each < ms; each += 100) {
      await time.pass(100)
      keeper.check()
    }
  }

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1000)
    const table = { version: 1, routes: [], services: [], teams: [{ name: 'red', keys: [hashKey('k')] }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
    facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
    facts.freshness.prove(performance.now())
    asked = []
    proved = 0
    watching = false
    told = []
    const lease = new KeyLease(facts, () => ({ revokeMs: 5000 }))
    const log = { info: (event: string, fields: { held?: boolean }) => { if (event === 'keys.lease_changed') told.push(fields.held) } } as unknown as Log
    const watch = { prove: async () => { proved += 1 }, get watching () { return watching } }
    const links = { askFresh: (far: boolean) => { asked.push(far) }, get outage () { return false } }
    keeper = new LeaseKeeper({ lease, facts, links, watch, log })
  })

  afterEach(() => time.restore())

  it('asks nobody while the proof is young, then one after the other, and at last those elsewhere too', async () => {
    await pass(1400)
    expect(asked).to.deep.equal([])
    await pass(500)
    expect(asked).to.deep.equal([false, false])
    await pass(500)
    expect(asked.slice(2)).to.include(true)
  })

  it('asks the store first where this entry reads it, and others only if that does not help', async () => {
    watching = true
    await pass(1900)
    expect(proved).to.equal(2)
    expect(asked).to.deep.equal([])
    await pass(500)
    expect(asked).to.include(true)
  })

  it('asks less often once it has ended, and tells its end and its return once', async () => {
    await pass(4100)
    const before = asked.length
    await pass(1800)
    expect(asked.length - before).to.equal(3)
    facts.freshness.prove(performance.now())
    await pass(200)
    expect(told).to.deep.equal([false, true])
  })
})

describe('taking keys away in a fleet of real processes', function () {
  this.timeout(90_000)
  let fleet: FleetSystem
  let sent = 0
  const revokeMs = 2000
  const ask = (key: string, entry = 0, id = `revoked-${sent++}`): Promise<Reply> =>
    askFleet(fleet, { path: '/once/x', id, entry, remainingMs: 900, headers: { authorization: `Token ${key}` } })
  const publish = (...keys: string[]): void => { fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, { tenants: [{ name: 'red', apiKeys: keys }] })) }
  const served = async (key: string, entry: number): Promise<boolean> => (await ask(key, entry)).status === 200
  const ran = (id: string): boolean => fleet.plain.some(server => server.ran.includes(id))

  before(async () => {
    fleet = new FleetSystem({
      network: 46, domains: 2, entriesPerDomain: 2, enginesPerDomain: 1, plainPerDomain: 1, places: 3, loadMs: 60, workMs: 5, events: 5, eventMs: 5, bounds: { strictRevoke: true, revokeMs } as never
    })
    await fleet.start()
  })

  beforeEach(async () => {
    publish('one', 'two')
    for (let entry = 0; entry < fleet.entries.length; entry++) await eventually(`entry ${entry} serves`, () => served('two', entry))
  })

  after(async () => { await fleet.stop() })

  it('serves those that are left at all entries, for longer than the bound', async () => {
    for (let round = 0; round < 12; round++) {
      await pause(revokeMs / 6)
      for (let entry = 0; entry < fleet.entries.length; entry++) expect(await ask('one', entry)).to.include({ status: 200 })
    }
  })

  it('ends serving within the bound where the store answers nobody, with when to come back, and goes on with the store', async () => {
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

  it('holds at an entry that was frozen while the key was taken away', async () => {
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

  it('holds at an entry that has just started', async () => {
    const restarted = fleet.entries[2]
    if (restarted === undefined) throw new Error('the fleet has no such entry')
    await fleet.kill(restarted)
    fleet.store.fault = 'silent'
    await pause(revokeMs)
    await fleet.startProcess(restarted)
    await pause(1200)
    const id = 'revoked-at-start'
    const reply = await ask('one', 2, id)
    fleet.store.fault = 'none'
    expect(reply.status).to.equal(503)
    expect(ran(id)).to.equal(false)
    await eventually('it serves again', () => served('one', 2), 8000)
  })
})

describe('proofs from the store', () => {
  let time: FakeTime
  let facts: Facts
  let calls: number
  let answerMs: number
  let answer: Result<FactPage, StoreFailure>
  let prover: TableProver

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1000)
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
    facts.completed('table', 9)
  })

  afterEach(() => time.restore())

  it('date from the start of the call, and one call serves all who ask meanwhile', async () => {
    answerMs = 400
    const asked = [prover.prove(), prover.prove(), prover.prove()]
    await time.pass(500)
    await Promise.all(asked)
    expect(calls).to.equal(1)
    expect(facts.freshness.ageMs).to.equal(500)
    await prover.prove()
    expect(calls).to.equal(1)
  })

  it('are asked for again once the last is no longer young', async () => {
    await time.until(prover.prove())
    await time.pass(800)
    await time.until(prover.prove())
    expect(calls).to.equal(2)
  })

  it('are none where the store does not answer, or the newest table can not be read', async () => {
    answer = err({ code: 'turned_away', detail: '' })
    await time.until(prover.prove())
    answer = ok({ facts: [], revision: 10, unread: 1 })
    await time.until(prover.prove())
    expect(facts.freshness.provenAt).to.equal(-Infinity)
  })
})
