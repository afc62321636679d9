import { nextPollDelayMs, type PollState } from '@finchpitch/fleet'
import { expect } from 'chai'

/** Poll input with the next load due in `due` ms. */
const inputWith = (more: Partial<PollState> = {}, due = Infinity): PollState => ({
  status: { busy: false, coming: [] },
  demandedKeys: [],
  dueInMs: maxMs => Math.min(maxMs, due),
  ...more
})
const coming = [{ key: 'm/a', version: 1 }]

describe('delay before the next poll of an engine', () => {
  it('is long while nothing is pending', () => {
    expect(nextPollDelayMs(inputWith())).to.equal(200)
  })

  describe('with an adapter being loaded', () => {
    it('ends when the load is due, and is not shortened by the demand that it meets', () => {
      const status = { busy: false, coming }
      expect(nextPollDelayMs(inputWith({ status, demandedKeys: ['m/a'] }, 130))).to.equal(130)
      expect(nextPollDelayMs(inputWith({ status, demandedKeys: ['m/a'] }, 900))).to.equal(200)
    })

    it('is short for another demand, which waits for a slot', () => {
      expect(nextPollDelayMs(inputWith({ status: { busy: false, coming }, demandedKeys: ['m/a', 'm/b'] }, 130))).to.equal(60)
      expect(nextPollDelayMs(inputWith({ status: { busy: false, coming }, demandedKeys: ['m/b'] }, 20))).to.equal(20)
    })
  })

  it('is short while the engine is busy with an order that is not shown as a load', () => {
    expect(nextPollDelayMs(inputWith({ status: { busy: true, coming: [] } }))).to.equal(60)
  })
})
