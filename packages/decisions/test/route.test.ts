import { RateLimit, RetryBudget, route } from '@finchpitch/decisions'
import { expect } from 'chai'

const at = (reported: number, sentSince = 0): Parameters<typeof route>[0][number] => ({ reported, sentSince, capacity: 10 })

describe('hashing with bounded loads', () => {
  it('selects the first process while its utilization is within the bound', () => {
    expect(route([at(5), at(0), at(0)])).to.equal(0)
  })

  it('overflows to the next process when the first exceeds the bound', () => {
    expect(route([at(30), at(2), at(0)])).to.equal(1)
  })

  it('adds the requests sent since the last report', () => {
    expect(route([at(0, 30), at(2), at(0)])).to.equal(1)
  })

  it('selects the first process when all are loaded about equally, and none of an empty list', () => {
    expect(route([at(40), at(40), at(39)])).to.equal(0)
    expect(route([])).to.equal(-1)
  })
})

describe('token buckets', () => {
  it('admit a rate and return the time until the next token', () => {
    const limit = new RateLimit(2, 0)
    expect([limit.take(0), limit.take(0), limit.take(0), limit.take(500)]).to.deep.equal([0, 0, 500, 0])
  })

  it('let retries add a fifth to the load and no more', () => {
    const budget = new RetryBudget()
    while (budget.spend()) { /* empties the bucket, which starts full */ }
    let retries = 0
    for (let request = 0; request < 100; request++) {
      budget.earn()
      if (budget.spend()) retries += 1
    }
    expect(retries).to.be.within(19, 20)
  })
})
