import { RateLimit, RetryBudget, route } from '@finchpitch/decisions'
import { expect } from 'chai'

const at = (reported: number, sentSince = 0): Parameters<typeof route>[0][number] => ({ reported, sentSince, capacity: 10 })

describe('route', () => {
  it('stays with the first while it is no fuller than the others', () => {
    expect(route([at(5), at(0), at(0)])).to.equal(0)
  })

  it('overflows to the next when the first is too full', () => {
    expect(route([at(30), at(2), at(0)])).to.equal(1)
  })

  it('counts what was sent since the last report', () => {
    expect(route([at(0, 30), at(2), at(0)])).to.equal(1)
  })

  it('takes the least full when all are equally too full', () => {
    expect(route([at(40), at(40), at(39)])).to.equal(0)
    expect(route([])).to.equal(-1)
  })
})

describe('limit', () => {
  it('admits a rate and says when to come back', () => {
    const limit = new RateLimit(2, 0)
    expect([limit.take(0), limit.take(0), limit.take(0), limit.take(500)]).to.deep.equal([0, 0, 500, 0])
  })

  it('lets retries add a fifth to a load, and no more', () => {
    const budget = new RetryBudget()
    while (budget.spend()) { /* spends what there is to begin with */ }
    let retries = 0
    for (let request = 0; request < 100; request++) {
      budget.earn()
      if (budget.spend()) retries += 1
    }
    expect(retries).to.be.within(19, 20)
  })
})
