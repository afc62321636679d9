import { ServerBackoff, maxBackoffMs } from '@finchpitch/decisions'
import { expect } from 'chai'

const slots = 10

describe('backoff requested by a server', () => {
  let backoff: ServerBackoff

  beforeEach(() => { backoff = new ServerBackoff() })

  it('sets no limit before it is requested', () => {
    expect(backoff.concurrencyLimit(slots, 0)).to.equal(Infinity)
    expect(backoff.rampedUp(0)).to.equal(true)
  })

  it('allows no request until it ends, then one', () => {
    expect(backoff.ask(3000, 100)).to.equal(true)
    expect(backoff.concurrencyLimit(slots, 3099)).to.equal(0)
    expect(backoff.leftMs(600)).to.equal(2500)
    expect(backoff.concurrencyLimit(slots, 3100)).to.equal(1)
  })

  it('is extended by a later one, never shortened, and starts once', () => {
    backoff.ask(3000, 0)
    expect(backoff.ask(500, 1000)).to.equal(false)
    expect(backoff.leftMs(1000)).to.equal(2000)
    expect(backoff.ask(3000, 2000)).to.equal(false)
    expect(backoff.leftMs(2000)).to.equal(3000)
  })

  it('allows one request after its end until that is answered, then ramps up', () => {
    backoff.ask(1000, 0)
    backoff.recordAnswer(500)
    expect(backoff.concurrencyLimit(slots, 5000)).to.equal(1)
    backoff.recordAnswer(5000)
    expect([5000, 5100, 5500, 5999, 6000].map(now => backoff.concurrencyLimit(slots, now))).to.deep.equal([1, 2, 6, 10, Infinity])
    expect(backoff.rampedUp(6000)).to.equal(true)
  })

  it('starts again when the first request after it is rejected', () => {
    backoff.ask(1000, 0)
    expect(backoff.ask(1000, 1500)).to.equal(true)
    expect(backoff.concurrencyLimit(slots, 2499)).to.equal(0)
    expect(backoff.concurrencyLimit(slots, 2500)).to.equal(1)
  })

  it('has a maximum length', () => {
    backoff.ask(Infinity, 0)
    expect(backoff.leftMs(0)).to.equal(maxBackoffMs)
  })
})
