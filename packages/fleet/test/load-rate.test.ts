import { LoadRate, shareOf, type LoadShare } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const share = (engines: number, place: number): LoadShare => ({ loadsPerSecond: 9.3, overage: 1.1, windowMs: 5000, engines, place })

describe('rate limit for loads', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  it('divides the limit among engines so that the sum equals the limit', () => {
    for (const engines of [1, 2, 7, 13, 35, 400]) {
      const sum = Array.from({ length: engines }, (_, place) => shareOf(share(engines, place))).reduce((a, b) => a + b)
      expect(sum).to.equal(Math.floor(9.3 * 1.1 * 5) + 3)
    }
  })

  it('applies to a sliding window rather than to fixed windows', async () => {
    const rate = new LoadRate()
    const ownShare = share(13, 12)
    for (let each = 0; each < shareOf(ownShare); each++) {
      expect(rate.may(ownShare)).to.equal(true)
      rate.started()
      await time.pass(1000)
    }
    expect(rate.may(ownShare)).to.equal(false)
    await time.pass(1001)
    expect(rate.may(ownShare)).to.equal(true)
  })
})
