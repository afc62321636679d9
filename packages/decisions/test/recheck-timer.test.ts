import { RecheckTimer } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('the time of a request beyond an advertised limit', () => {
  const silenceMs = 10_000
  const demandMs = 6000
  let timer: RecheckTimer
  beforeEach(() => { timer = new RecheckTimer(0, silenceMs, demandMs) })

  /** Holds requests back at this interval. Returns when the timer became due. */
  const holdBack = (from: number, until: number, intervalMs: number): number | undefined => {
    for (let now = from; now <= until; now += intervalMs) {
      timer.recordDemand(now)
      if (timer.isDue(now)) return now
    }
    return undefined
  }

  it('comes after the silence and the given time of demand', () => {
    expect(holdBack(0, 60_000, 100)).to.equal(silenceMs + demandMs)
  })

  it('does not come from the time that passes without demand', () => {
    expect(holdBack(0, silenceMs, 100)).to.equal(undefined)
    expect(holdBack(300_000, 304_000, 100)).to.equal(undefined)
    expect(holdBack(304_100, 360_000, 100)).to.equal(305_000)
  })

  it('comes at last if requests are rare', () => {
    expect(holdBack(0, 600_000, 15_000)).to.equal(90_000)
  })
})
