import { LoadRateLimiter, loadsPerWindow, type LoadRateShare } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const share = (engineCount: number, engineIndex: number): LoadRateShare => ({ loadsPerSecond: 9.3, overage: 1.1, windowMs: 5000, engineCount, engineIndex })

describe('rate limit for loads', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  it('divides the limit among engines so that the sum equals the limit', () => {
    for (const engineCount of [1, 2, 7, 13, 35, 400]) {
      const sum = Array.from({ length: engineCount }, (_, engineIndex) => loadsPerWindow(share(engineCount, engineIndex))).reduce((a, b) => a + b)
      expect(sum).to.equal(Math.floor(9.3 * 1.1 * 5) + 3)
    }
  })

  it('applies to a sliding window rather than to fixed windows', async () => {
    const rate = new LoadRateLimiter()
    const ownShare = share(13, 12)
    for (let each = 0; each < loadsPerWindow(ownShare); each++) {
      expect(rate.allows(ownShare)).to.equal(true)
      rate.recordLoad()
      await time.advance(1000)
    }
    expect(rate.allows(ownShare)).to.equal(false)
    await time.advance(1001)
    expect(rate.allows(ownShare)).to.equal(true)
  })
})
