import { ExpiringTokens, earnedPerSecond, initialCredit, tokenLifetimeMs, type QuotaBound, type QuotaRate } from '@finchpitch/decisions'
import { EarnedTokens, boottimeMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** As in `EarnedTokens`. */
const creditMs = 500
const sliceMs = 100

/** Earns with figures that are computed anew at each step. */
class PlainEarnings {
  readonly stock = new ExpiringTokens()
  earnedAt: number

  constructor (public rate: QuotaRate, public bound: QuotaBound, public entries: number, private readonly startedAt: number) {
    this.earnedAt = startedAt
  }

  get cutoff (): number {
    return boottimeMs() - tokenLifetimeMs(this.rate, this.bound)
  }

  earn (): void {
    const now = boottimeMs()
    const perMs = earnedPerSecond(this.rate, this.bound) / this.entries / 1000
    for (let from = Math.max(this.earnedAt, this.cutoff); from < now; from = Math.min(now, from + sliceMs)) {
      const until = Math.min(now, from + sliceMs)
      const ms = Math.min(until, this.startedAt + creditMs) - from
      this.stock.add((until - from) * perMs + (ms <= 0 ? 0 : initialCredit(this.rate, this.bound) / this.entries * ms / creditMs), from)
    }
    this.earnedAt = now
  }
}

describe('tokens that an entry earns', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })

  afterEach(() => { time.restore() })

  // Guards against tokens at an earlier rate, bound or number of entries, and against tokens that are earned twice or not at all.
  it('are those computed from scratch, while rate, bound and number of entries change', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const generator = xoroshiro128plus(seed)
      const random = (): number => uniformFloat64(generator)
      const drawRate = (): QuotaRate => ({ perSecond: 1000 + random() * 400_000, burst: random() * 100_000 })
      const drawBound = (): QuotaBound => ({ windowMs: 8000, overage: random() * 0.2, slack: random() * 100_000 })
      const plain = new PlainEarnings(drawRate(), drawBound(), 28, boottimeMs() - random() * 600)
      const startedAt = plain.earnedAt
      const earned = new EarnedTokens(plain.rate, () => ({ ...plain.bound }), () => plain.entries, { startedAt })
      for (let step = 0; step < 300; step++) {
        if (random() < 0.8) time.advanceSync(Math.floor(random() * 60))
        const action = random()
        const tokens = random() * 5000
        if (action < 0.05) {
          plain.earn()
          plain.rate = drawRate()
          earned.setRate(plain.rate)
        } else if (action < 0.1) plain.bound = drawBound()
        else if (action < 0.15) plain.entries = 4 + Math.floor(random() * 40)
        else if (action < 0.4) {
          plain.earn()
          expect(earned.take(tokens)).to.deep.equal(plain.stock.take(tokens, plain.cutoff))
        } else if (action < 0.5) expect(earned.takeUpTo(tokens)).to.deep.equal(plain.stock.takeUpTo(tokens, plain.cutoff))
        else if (action < 0.6) {
          const slices = [{ tokens, earnedAt: boottimeMs() - random() * 2000 }]
          earned.addAll(slices)
          plain.stock.addAll(slices)
        } else {
          plain.earn()
          earned.earn()
        }
        expect(earned.total, `seed ${seed}, step ${step}`).to.equal(plain.stock.total(plain.cutoff))
        expect(earned.ownRate).to.equal(earnedPerSecond(plain.rate, plain.bound) / plain.entries)
      }
    }
  })

  // Dividing by a rate of zero gave NaN tokens, which passed every comparison.
  it('are none at a rate of zero, also right after a start', () => {
    const zero = { perSecond: 0, burst: 0 }
    for (const slack of [0, 1000]) {
      const earned = new EarnedTokens(zero, () => ({ windowMs: 8000, overage: 0.1, slack }), () => 4, { startedAt: boottimeMs() })
      time.advanceSync(300)
      expect(earned.take(1)).to.equal(undefined)
      expect(earned.total).to.equal(0)
    }
  })
})
