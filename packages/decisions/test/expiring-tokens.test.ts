import { ExpiringTokens, earnedPerSecond, tokenLifetimeMs } from '@finchpitch/decisions'
import { expect } from 'chai'

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
})
