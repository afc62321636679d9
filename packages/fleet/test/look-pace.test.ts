import { nextLookMs, type LookView } from '@finchpitch/fleet'
import { expect } from 'chai'

/** An engine that has looks when `due` says that a load ends. */
const view = (more: Partial<LookView> = {}, due = Infinity): LookView => ({
  account: { busy: false, coming: [] },
  demanded: [],
  dueInMs: mostMs => Math.min(mostMs, due),
  ...more
})
const coming = [{ key: 'm/a', version: 1 }]

describe('the next look at an engine', () => {
  it('is far off while nothing is awaited', () => {
    expect(nextLookMs(view())).to.equal(200)
  })

  describe('with an adapter on its way', () => {
    it('is when that is due, and no sooner for the demand that it was ordered for', () => {
      const account = { busy: false, coming }
      expect(nextLookMs(view({ account, demanded: ['m/a'] }, 130))).to.equal(130)
      expect(nextLookMs(view({ account, demanded: ['m/a'] }, 900))).to.equal(200)
    })

    it('is soon for another demand, which waits for a place', () => {
      expect(nextLookMs(view({ account: { busy: false, coming }, demanded: ['m/a', 'm/b'] }, 130))).to.equal(60)
      expect(nextLookMs(view({ account: { busy: false, coming }, demanded: ['m/b'] }, 20))).to.equal(20)
    })
  })

  it('is soon while the engine is at an order that shows nothing on its way', () => {
    expect(nextLookMs(view({ account: { busy: true, coming: [] } }))).to.equal(60)
  })
})
