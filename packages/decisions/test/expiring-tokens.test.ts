import { ExpiringTokens, earnedPerSecond, tokenLifetimeMs, totalTokens, type TokenSlice } from '@finchpitch/decisions'
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

describe('quota tokens by age', () => {
  it('are taken oldest first', () => {
    const pool = new ExpiringTokens()
    pool.addAll([{ tokens: 10, earnedAt: 300 }, { tokens: 10, earnedAt: 100 }, { tokens: 10, earnedAt: 200 }])
    expect(pool.takeUpTo(15, 0)).to.deep.equal([{ tokens: 10, earnedAt: 100 }, { tokens: 5, earnedAt: 200 }])
    expect(pool.takeUpTo(99, 0)).to.deep.equal([{ tokens: 5, earnedAt: 200 }, { tokens: 10, earnedAt: 300 }])
  })

  it('are taken in full or not at all, without expired ones', () => {
    const pool = new ExpiringTokens()
    pool.add(10, 100)
    pool.add(10, 200)
    expect(pool.take(21, 0)).to.equal(undefined)
    expect(pool.take(11, 150)).to.equal(undefined)
    expect(pool.take(10, 150)).to.deep.equal([{ tokens: 10, earnedAt: 200 }])
  })

  // Each process dated them up to 100 ms earlier than it had received them.
  it('keep their age while they pass through several processes', () => {
    let slices = [{ tokens: 10, earnedAt: 1099 }]
    for (const clockOffset of [30, 30, 30]) {
      const pool = new ExpiringTokens()
      pool.addAll(slices.map(({ tokens, earnedAt }) => ({ tokens, earnedAt: earnedAt + clockOffset })))
      slices = pool.takeUpTo(10, 0)
    }
    expect(slices).to.deep.equal([{ tokens: 10, earnedAt: 1189 }])
  })

  it('have the age of the oldest that was earned at about the same time', () => {
    const pool = new ExpiringTokens()
    pool.addAll([{ tokens: 10, earnedAt: 150 }, { tokens: 10, earnedAt: 120 }, { tokens: 10, earnedAt: 199 }, { tokens: 10, earnedAt: 200 }])
    expect(pool.takeUpTo(99, 0)).to.deep.equal([{ tokens: 30, earnedAt: 120 }, { tokens: 10, earnedAt: 200 }])
  })

  it('never become younger, and form few slices when many are added out of order', () => {
    const pool = new ExpiringTokens()
    let seed = 7
    const random = (): number => { seed = (seed * 48_271) % 2_147_483_647; return seed / 2_147_483_647 }
    for (let each = 0; each < 50_000; each++) pool.add(1, 1000 + random() * 3000)
    expect(pool.total(0)).to.equal(50_000)
    const slices = pool.takeUpTo(Infinity, 0)
    expect(slices).to.have.length.at.most(31)
    const early = slices.filter(({ earnedAt }) => earnedAt < 2000).reduce((sum, { tokens }) => sum + tokens, 0)
    expect(early).to.be.within(16_000, 17_500)
  })

  it('have a lifetime with which the rate times window and lifetime stays within the bound', () => {
    for (const perSecond of [29_000, 206_000]) {
      const bound = { windowMs: 8000, overage: 0.1, slack: 110_000 }
      const lifetimeMs = tokenLifetimeMs({ perSecond, burst: perSecond }, bound)
      expect(lifetimeMs).to.be.greaterThan(1000)
      expect(perSecond * (8000 + lifetimeMs) / 1000).to.be.lessThan((perSecond * 8 + perSecond) * 1.1 + 110_000)
    }
    const tight = { windowMs: 8000, overage: 0, slack: 0 }
    const rate = { perSecond: 100, burst: 0 }
    expect(earnedPerSecond(rate, tight) * (8000 + tokenLifetimeMs(rate, tight)) / 1000).to.be.within(750, 800.001)
    expect(earnedPerSecond({ perSecond: 100, burst: 100 }, tight)).to.equal(100)
  })

  describe('after any history of additions, withdrawals and expiry', () => {
    /** The slices as computed without any kept sum. */
    class PlainSlices {
      slices: TokenSlice[] = []

      add (tokens: number, earnedAt: number): void {
        const intervalOf = (at: number): number => Math.floor(at / 100)
        const same = this.slices.find(slice => intervalOf(slice.earnedAt) === intervalOf(earnedAt))
        if (same === undefined) this.slices.push({ tokens, earnedAt })
        else {
          same.tokens += tokens
          same.earnedAt = Math.min(same.earnedAt, earnedAt)
        }
        this.slices.sort((a, b) => a.earnedAt - b.earnedAt)
      }

      total (since: number): number {
        this.slices = this.slices.filter(({ earnedAt }) => earnedAt >= since)
        return totalTokens(this.slices)
      }

      takeUpTo (tokens: number, since: number): TokenSlice[] {
        this.slices = this.slices.filter(({ earnedAt }) => earnedAt >= since)
        const taken: TokenSlice[] = []
        let missing = tokens
        for (const slice of this.slices) {
          const amount = Math.min(missing, slice.tokens)
          if (amount <= 0) break
          taken.push({ tokens: amount, earnedAt: slice.earnedAt })
          slice.tokens -= amount
          missing -= amount
        }
        this.slices = this.slices.filter(slice => slice.tokens > 0)
        return taken
      }
    }

    // Guards against a kept sum that misses a change. A sum that is rounded in another way would already change decisions.
    it('have exactly the total of a sum from scratch', () => {
      for (let seed = 1; seed <= 60; seed++) {
        const generator = xoroshiro128plus(seed)
        const random = (): number => uniformFloat64(generator)
        const pool = new ExpiringTokens()
        const plain = new PlainSlices()
        for (let now = 1000, step = 0; step < 500; step++) {
          now += random() * 40
          const since = now - 900
          const action = random()
          const tokens = random() * 100
          if (action < 0.7) {
            const earnedAt = action < 0.5 ? now : now - random() * 1000
            pool.add(tokens, earnedAt)
            plain.add(tokens, earnedAt)
          } else if (action < 0.85) expect(pool.takeUpTo(tokens * 4, since)).to.deep.equal(plain.takeUpTo(tokens * 4, since))
          else if (action < 0.95) expect(pool.take(tokens * 6, since)).to.deep.equal(plain.total(since) < tokens * 6 ? undefined : plain.takeUpTo(tokens * 6, since))
          else if (action < 0.97) expect(pool.takeUpTo(Infinity, since)).to.deep.equal(plain.takeUpTo(Infinity, since))
          if (random() < 0.7) expect(pool.total(since), `seed ${seed}, step ${step}`).to.equal(plain.total(since))
        }
      }
    })
  })
})
