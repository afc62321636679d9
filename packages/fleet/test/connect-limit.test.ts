import { ConnectLimit } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('the limit of a connection', () => {
  const after = (...took: number[]): number => {
    const limit = new ConnectLimit()
    for (const ms of took) limit.cameUp(ms)
    return limit.ms
  }

  it('is short while connections come up soon', () => {
    expect(after()).to.equal(200)
    expect(after(2, 3, 1, 20)).to.equal(200)
  })

  it('grows where all are slow, to a second at most, and shrinks again', () => {
    const slow = Array.from({ length: 8 }, () => 150)
    expect(after(...slow)).to.be.within(600, 1000)
    expect(after(...slow, ...slow, ...slow, 900, 900)).to.equal(1000)
    expect(after(...slow, ...Array.from({ length: 20 }, () => 3))).to.equal(200)
  })

  it('does not grow much for a single slow one', () => {
    expect(after(2, 2, 150)).to.be.lessThan(250)
  })
})
