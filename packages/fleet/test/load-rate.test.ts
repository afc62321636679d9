import { LoadRate, shareOf, type LoadShare } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const share = (engines: number, place: number): LoadShare => ({ loadsPerSecond: 9.3, overage: 1.1, windowMs: 5000, engines, place })

describe('load rate', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  it('divides what the store allows so that the sum is never over it', () => {
    for (const engines of [1, 2, 7, 13, 35, 400]) {
      const sum = Array.from({ length: engines }, (_, place) => shareOf(share(engines, place))).reduce((a, b) => a + b)
      expect(sum).to.equal(Math.floor(9.3 * 1.1 * 5) + 3)
    }
  })

  it('counts any window, not fixed ones', async () => {
    const rate = new LoadRate()
    const mine = share(13, 12)
    for (let each = 0; each < shareOf(mine); each++) {
      expect(rate.may(mine)).to.equal(true)
      rate.started()
      await time.pass(1000)
    }
    expect(rate.may(mine)).to.equal(false)
    await time.pass(1001)
    expect(rate.may(mine)).to.equal(true)
  })
})
