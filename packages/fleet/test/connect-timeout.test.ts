import { ConnectTimeout } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('connect timeout', () => {
  const timeoutAfter = (...connectTimes: number[]): number => {
    const timeout = new ConnectTimeout()
    for (const ms of connectTimes) timeout.recordConnect(ms)
    return timeout.ms
  }

  it('is short while connects are fast', () => {
    expect(timeoutAfter()).to.equal(200)
    expect(timeoutAfter(2, 3, 1, 20)).to.equal(200)
  })

  it('grows up to a second when all connects are slow, and shrinks again', () => {
    const slow = Array.from({ length: 8 }, () => 150)
    expect(timeoutAfter(...slow)).to.be.within(600, 1000)
    expect(timeoutAfter(...slow, ...slow, ...slow, 900, 900)).to.equal(1000)
    expect(timeoutAfter(...slow, ...Array.from({ length: 20 }, () => 3))).to.equal(200)
  })

  it('grows little for a single slow connect', () => {
    expect(timeoutAfter(2, 2, 150)).to.be.lessThan(250)
  })
})
