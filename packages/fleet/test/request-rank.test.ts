import { FirstAttemptEstimator, rankOf } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('ranking of requests', () => {
  describe('the rank', () => {
    const rank = (priority: number, elapsedMs: number, prefillMs: number): number => rankOf({ priority, objectiveMs: 800, elapsedMs, prefillMs })

    it('orders requests by the route\'s priority, both with ample slack and with little', () => {
      expect(rank(0, 0, 20)).to.be.lessThan(rank(1, 0, 20))
      expect(rank(1, 0, 20)).to.be.lessThan(rank(2, 0, 20))
      expect(rank(0, 0, 500)).to.be.lessThan(rank(1, 0, 500))
      expect(rank(1, 0, 500)).to.be.lessThan(rank(2, 0, 500))
    })

    it('puts a long prompt before short ones of any route that have slack, and after those that have waited', () => {
      expect(rank(2, 0, 500)).to.be.lessThan(rank(0, 0, 20))
      expect(rank(0, 400, 20)).to.be.lessThan(rank(2, 0, 500))
    })

    it('puts a request with little slack before others of its route', () => {
      expect(rank(1, 0, 600)).to.be.lessThan(rank(1, 0, 100))
      expect(rank(1, 500, 100)).to.be.lessThan(rank(1, 0, 100))
    })

    it('puts late requests behind all that are in time, and stays within the ranks that engines accept', () => {
      expect(rank(0, 900, 20)).to.be.greaterThan(rank(2, 0, 20))
      expect(rank(0, 900, 20)).to.be.lessThan(rank(1, 900, 20))
      expect(rank(30, 900, 20)).to.equal(9)
    })
  })

  describe('the time since a caller\'s first attempt', () => {
    const seen = (...remaining: number[]): FirstAttemptEstimator => {
      const estimator = new FirstAttemptEstimator()
      for (const each of remaining) estimator.agoMs('r', each)
      return estimator
    }

    it('is inferred from the remaining time that other requests of the route state', () => {
      const estimator = seen(5000, 4990, 5000, 5000)
      expect(estimator.agoMs('r', 4995)).to.equal(0)
      expect(estimator.agoMs('r', 3800)).to.equal(1200)
      expect(estimator.agoMs('other', 3800)).to.equal(0)
    })

    it('is zero if the remaining times of callers show no common start', () => {
      expect(seen(5000, 1000, 2000, 3000, 4000, 1500, 2500).agoMs('r', 3500)).to.equal(0)
    })

    it('is reset by a first attempt that follows later ones', () => {
      const estimator = seen(3800, 3700, 3800)
      expect(estimator.agoMs('r', 5000)).to.equal(0)
      expect(estimator.agoMs('r', 3800)).to.equal(1200)
    })
  })
})
