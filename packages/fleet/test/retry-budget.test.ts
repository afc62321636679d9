import { RetryAccount, boottimeMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { RetrySimulation, retryBounds, type RetryPattern } from './replay/retry-simulation.js'

const sizes = [{ entries: 3, rate: 90 }, { entries: 4, rate: 8 }, { entries: 26, rate: 7 }, { entries: 68, rate: 8 }]

describe('the retry budget of all entries', function () {
  this.timeout(60_000)
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => { time.restore() })

  const simulate = (pattern: Partial<RetryPattern>): RetrySimulation =>
    new RetrySimulation(time, { seed: 1, entries: 4, perSecond: () => 20, failing: () => 0.6, ...pattern })

  const killAll = async (simulation: RetrySimulation, entries: number): Promise<void> => {
    for (let entry = 0; entry < entries; entry++) simulation.kill(entry)
    await simulation.run(500)
    for (let entry = 0; entry < entries; entry++) simulation.start(entry)
  }

  const restartInTurn = async (simulation: RetrySimulation, entries: number, ms: number): Promise<void> => {
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
      const simulation = simulate({})
      await simulation.run(8000)
      for (let kill = 0; kill < 3; kill++) {
        await killAll(simulation, 4)
        await simulation.run(2500)
      }
      await simulation.run(10_000)
      expect(simulation.maxExcess).to.be.at.most(0)
    })

    for (const { entries, rate } of sizes) {
      it(`is kept by ${entries} entries that restart in turn and are then killed at once, again and again`, async () => {
        for (const seed of [1, 2, 3]) {
          const simulation = simulate({ seed, entries, perSecond: () => rate })
          await simulation.run(3000)
          await restartInTurn(simulation, entries, 6000)
          for (let kill = 0; kill < 6; kill++) {
            await killAll(simulation, entries)
            await simulation.run(700)
          }
          await simulation.run(6000)
          expect(simulation.maxExcess, `seed ${seed}`).to.be.at.most(0)
        }
      })
    }

    // The share of an entry that is gone was divided among the others at once, although what it had spent still counted.
    it('is kept although entries end one after the other, and the others count fewer', async () => {
      let alive = 4
      const simulation = simulate({ perSecond: () => 4, failing: () => 1, assumedEntries: () => alive })
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
        const simulation = simulate({ entries, perSecond: () => rate, failing: () => 0.05 })
        await simulation.run(5000)
        await restartInTurn(simulation, entries, 30_000)
        expect(simulation.grantedShare()).to.be.at.least(0.95)
      })
    }
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

  it('takes back a permit whose retry was not sent', () => {
    time.advanceSync(1000)
    const { tokens } = account.basis
    const permit = account.take(account.basis)
    if (permit === undefined) throw new Error('there is a token')
    account.release(permit)
    expect(account.basis.tokens).to.be.closeTo(tokens, 1e-6)
  })
})
