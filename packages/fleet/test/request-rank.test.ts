import { rankOf } from '@finchpitch/fleet'
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
})
