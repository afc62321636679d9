import { Contact, RetryAccount, RetryBank, boottimeMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { RetrySimulation, retryBounds, type RetryPattern } from './replay/retry-simulation.js'

const sizes = [{ entries: 3, rate: 90 }, { entries: 4, rate: 8 }, { entries: 26, rate: 7 }, { entries: 68, rate: 8 }]

describe('the retry budget of all entries', function () {
  this.timeout(120_000)
  let time: FakeTime
  let simulation: RetrySimulation

  beforeEach(() => { time = new FakeTime() })

  afterEach(() => {
    simulation.stop()
    time.restore()
  })

  const simulate = (pattern: Partial<RetryPattern>): RetrySimulation => {
    simulation = new RetrySimulation(time, { seed: 1, entries: 4, perSecond: () => 20, failing: () => 0.6, ...pattern })
    return simulation
  }

  const killAll = async (entries: number): Promise<void> => {
    for (let entry = 0; entry < entries; entry++) simulation.kill(entry)
    await simulation.run(500)
    for (let entry = 0; entry < entries; entry++) simulation.start(entry)
  }

  const restartInTurn = async (entries: number, ms: number): Promise<void> => {
    const eachMs = ms / entries
    for (let entry = 0; entry < entries; entry++) {
      simulation.kill(entry)
      await simulation.run(Math.min(600, eachMs / 2))
      simulation.start(entry)
      await simulation.run(eachMs - Math.min(600, eachMs / 2))
    }
  }

  describe('while many attempts fail', () => {
    // An entry that restarted had its whole share of the slack again, whatever its previous incarnation had spent in the same window.
    it('is kept although all entries are killed three times in a window', async () => {
      simulate({})
      await simulation.run(8000)
      for (let kill = 0; kill < 3; kill++) {
        await killAll(4)
        await simulation.run(2500)
      }
      await simulation.run(10_000)
      expect(simulation.maxExcess).to.be.at.most(0)
    })

    for (const { entries, rate } of sizes) {
      it(`is kept by ${entries} entries that restart in turn and are then killed at once, again and again`, async () => {
        for (const seed of [1, 2, 3]) {
          simulate({ seed, entries, perSecond: () => rate })
          await simulation.run(3000)
          await restartInTurn(entries, 6000)
          for (let kill = 0; kill < 6; kill++) {
            await killAll(entries)
            await simulation.run(700)
          }
          await simulation.run(6000)
          simulation.stop()
          expect(simulation.maxExcess, `seed ${seed}`).to.be.at.most(0)
        }
      })
    }

    // An entry spent what the requests of a whole window had earned, and its next incarnation what its own requests earned in addition.
    it('is kept although entries of much traffic are killed just after their first failures', async () => {
      simulate({ perSecond: () => 90, failing: (_entry, at) => at < 10_000 ? 0 : 0.9 })
      await simulation.run(12_000)
      for (let kill = 0; kill < 3; kill++) {
        await killAll(4)
        await simulation.run(2500)
      }
      expect(simulation.maxExcess).to.be.at.most(0)
    })

    // Half of the entries still had their share of the slack when the other half had divided all of it.
    it('is kept although half of the entries are cut off for so long that the others no longer count them', async () => {
      const contact = new Contact()
      const [cutAt, adoptedAt] = [5000, 20_000]
      const assumedEntries = (entry: number, at: number): number => {
        if (entry === 1) return at < adoptedAt ? 2 : 1
        contact.update(at < cutAt)
        return contact.isLost ? Infinity : 2
      }
      simulate({ entries: 2, perSecond: () => 3, failing: () => 1, assumedEntries })
      await simulation.run(cutAt)
      simulation.togglePartition(0)
      await simulation.run(35_000)
      expect(simulation.maxExcess).to.be.at.most(0)
    })

    // The share of an entry that is gone was divided among the others at once, although what it had spent still counted.
    it('is kept although entries end one after the other, and the others count fewer', async () => {
      let alive = 4
      simulate({ perSecond: () => 4, failing: () => 1, assumedEntries: () => alive })
      await simulation.run(2000)
      for (; alive > 1; alive--) {
        simulation.kill(alive - 1)
        await simulation.run(1500)
      }
      await simulation.run(5000)
      expect(simulation.maxExcess).to.be.at.most(0)
    })
  })

  describe('while few attempts fail', () => {
    for (const { entries, rate } of sizes) {
      it(`allows nearly all retries of ${entries} entries that restart in turn`, async () => {
        simulate({ entries, perSecond: () => rate, failing: () => 0.05 })
        await simulation.run(5000)
        await restartInTurn(entries, 30_000)
        expect(simulation.grantedShare()).to.be.at.least(0.95)
      })
    }
  })

  describe('while the attempts of one entry fail', () => {
    for (const { entries, rate } of sizes) {
      // An entry alone had its share of the slack, which at 26 entries is two retries in ten seconds.
      it(`gives that entry at least half of the slack of ${entries} entries`, async () => {
        simulate({ entries, perSecond: () => rate, failing: (entry, at) => entry === 0 && at >= 10_000 ? 0.8 : 0 })
        await simulation.run(30_000)
        const from = 15_000
        const retries = simulation.retries.filter(at => at >= from && at < from + retryBounds.retryWindowMs).length
        expect(retries - retryBounds.retryRatio * rate * retryBounds.retryWindowMs / 1000).to.be.at.least(retryBounds.retrySlack / 2)
        expect(simulation.maxExcess).to.be.at.most(0)
      })
    }
  })

  describe('through random histories', () => {
    for (const entries of [3, 4, 12]) {
      it(`is kept by ${entries} entries that restart, are partitioned, and lose their banks`, async () => {
        for (let seed = 1; seed <= 8; seed++) {
          const random = xoroshiro128plus(seed)
          const draw = (below: number): number => Math.floor(uniformFloat64(random) * below)
          const failing = Array.from({ length: entries }, () => uniformFloat64(random))
          simulate({ seed, entries, perSecond: () => 12, failing: (entry, at) => at % 7000 < 4000 ? failing[entry] ?? 0 : 0 })
          const troubles = [
            () => simulation.restart(draw(entries)),
            () => simulation.togglePartition(draw(entries)),
            () => simulation.setBank(draw(2), draw(2) === 0),
            () => { for (let entry = 0; entry < entries; entry++) simulation.restart(entry) }
          ]
          for (let step = 0; step < 40; step++) {
            await simulation.run(100 + draw(1500))
            troubles[draw(troubles.length)]?.()
          }
          simulation.stop()
          expect(simulation.maxExcess, `seed ${seed}`).to.be.at.most(0)
        }
      })
    }
  })
})

describe('the bank of retries', () => {
  const lifetimeMs = 2000
  let time: FakeTime
  let bank: RetryBank

  beforeEach(() => {
    time = new FakeTime()
    bank = new RetryBank()
  })

  afterEach(() => { time.restore() })

  const want = (entry: string, retries: number): ReturnType<RetryBank['exchange']> => bank.exchange(entry, { gives: [], wants: [['engines', retries, lifetimeMs]] }, 0)
  const give = (entry: string, retries: number, ageMs = 0): ReturnType<RetryBank['exchange']> => bank.exchange(entry, { gives: [['engines', retries, ageMs]], wants: [['engines', 0, lifetimeMs]] }, 0)

  it('tells an entry what others lack, and grants them what it gives', () => {
    expect(want('a', 3).lacking).to.deep.equal([['engines', 0]])
    expect(give('b', 2).lacking).to.deep.equal([['engines', 1]])
    expect(want('a', 3).grants).to.deep.equal([['engines', 2, 0]])
  })

  it('divides what is not enough for all, one retry at least', () => {
    want('a', 6)
    give('c', 4)
    expect(want('b', 1).grants).to.deep.equal([['engines', 1, 0]])
    expect(want('a', 6).grants).to.deep.equal([['engines', 3, 0]])
  })

  it('grants nothing that has expired, or whose time in transit is not known', () => {
    give('b', 1, 1500)
    time.advanceSync(600)
    expect(want('a', 1).grants).to.deep.equal([])
    bank.exchange('b', { gives: [['engines', 1, 0]], wants: [] }, undefined)
    expect(want('a', 1).grants).to.deep.equal([])
  })

  it('forgets what an entry lacked once it does not repeat that', () => {
    want('a', 3)
    time.advanceSync(700)
    expect(give('b', 0).lacking).to.deep.equal([['engines', 0]])
  })
})

describe('the retry account of an entry', () => {
  let time: FakeTime
  let account: RetryAccount

  beforeEach(() => {
    time = new FakeTime()
    account = new RetryAccount(() => retryBounds, () => 2, boottimeMs())
  })

  afterEach(() => { time.restore() })

  const takeAll = (): number => {
    let taken = 0
    while (account.take(account.basis) !== undefined) taken += 1
    return taken
  }

  it('starts without tokens, as its previous incarnation may have spent its share', () => {
    expect(takeAll()).to.equal(0)
  })

  it('earns its part of the slack over the window, and saves up no more than what is left of it', () => {
    time.advanceSync(60_000)
    let taken = 0
    for (let ms = 0; ms < retryBounds.retryWindowMs; ms += 100) {
      taken += takeAll()
      time.advanceSync(100)
    }
    expect(taken).to.be.within(0.8 * retryBounds.retrySlack / 2, retryBounds.retrySlack / 2)
  })

  it('earns a part of its first attempts, which adds up with fractions of a token', () => {
    for (let each = 0; each < 4; each++) account.recordFirstAttempt()
    expect(takeAll()).to.equal(0)
    time.advanceSync(200)
    expect(takeAll()).to.equal(1)
  })

  it('has no retries if the budget allows none', () => {
    const none = new RetryAccount(() => ({ retryRatio: 0, retrySlack: 0, retryWindowMs: 10_000 }), () => 2, boottimeMs())
    none.recordFirstAttempt()
    time.advanceSync(60_000)
    expect(none.take(none.basis)).to.equal(undefined)
  })

  it('takes back a permit whose retry was not sent', () => {
    time.advanceSync(1000)
    const { tokens } = account.basis
    const permit = account.take(account.basis)
    if (permit === undefined) throw new Error('there is a token')
    account.release(permit)
    expect(account.basis.tokens).to.be.closeTo(tokens, 1e-6)
  })
})
