import { FirstTries, rankOf } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('urgency', () => {
  describe('the rank', () => {
    const rank = (priority: number, elapsedMs: number, readingMs: number): number => rankOf({ priority, objectiveMs: 800, elapsedMs, readingMs })

    it('puts the route\'s own rank first among requests with time to spare, and among those with little', () => {
      expect(rank(0, 0, 20)).to.be.lessThan(rank(1, 0, 20))
      expect(rank(1, 0, 20)).to.be.lessThan(rank(2, 0, 20))
      expect(rank(0, 0, 500)).to.be.lessThan(rank(1, 0, 500))
      expect(rank(1, 0, 500)).to.be.lessThan(rank(2, 0, 500))
    })

    it('puts a long prompt before short ones of any route that have time, and after those that have waited', () => {
      expect(rank(2, 0, 500)).to.be.lessThan(rank(0, 0, 20))
      expect(rank(0, 400, 20)).to.be.lessThan(rank(2, 0, 500))
    })

    it('puts a request with little time to spare before another of its route', () => {
      expect(rank(1, 0, 600)).to.be.lessThan(rank(1, 0, 100))
      expect(rank(1, 500, 100)).to.be.lessThan(rank(1, 0, 100))
    })

    it('puts what is late behind all that is in time, and keeps to what engines know', () => {
      expect(rank(0, 900, 20)).to.be.greaterThan(rank(2, 0, 20))
      expect(rank(0, 900, 20)).to.be.lessThan(rank(1, 900, 20))
      expect(rank(30, 900, 20)).to.equal(9)
    })
  })

  describe('the time since a caller\'s first try', () => {
    const seen = (...remaining: number[]): FirstTries => {
      const tries = new FirstTries()
      for (const each of remaining) tries.agoMs('r', each)
      return tries
    }

    it('is told by what others of the route state', () => {
      const tries = seen(5000, 4990, 5000, 5000)
      expect(tries.agoMs('r', 4995)).to.equal(0)
      expect(tries.agoMs('r', 3800)).to.equal(1200)
      expect(tries.agoMs('other', 3800)).to.equal(0)
    })

    it('is not told where callers state what they like', () => {
      expect(seen(5000, 1000, 2000, 3000, 4000, 1500, 2500).agoMs('r', 3500)).to.equal(0)
    })

    it('begins anew with a first try after others', () => {
      const tries = seen(3800, 3700, 3800)
      expect(tries.agoMs('r', 5000)).to.equal(0)
      expect(tries.agoMs('r', 3800)).to.equal(1200)
    })
  })
})
