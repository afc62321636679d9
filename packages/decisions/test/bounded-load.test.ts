import { TokenBucket, RetryBudget, selectBoundedLoad } from '@finchpitch/decisions'
import { expect } from 'chai'

const at = (reportedRequests: number, sentSinceReport = 0): Parameters<typeof selectBoundedLoad>[0][number] => ({ reportedRequests, sentSinceReport, capacity: 10 })

describe('hashing with bounded loads', () => {
  it('selects the first process while its utilization is within the bound', () => {
    expect(selectBoundedLoad([at(5), at(0), at(0)])).to.equal(0)
  })

  it('overflows to the next process when the first exceeds the bound', () => {
    expect(selectBoundedLoad([at(30), at(2), at(0)])).to.equal(1)
  })

  it('adds the requests sent since the last report', () => {
    expect(selectBoundedLoad([at(0, 30), at(2), at(0)])).to.equal(1)
  })

  it('selects the first process when all are loaded about equally, and none of an empty list', () => {
    expect(selectBoundedLoad([at(40), at(40), at(39)])).to.equal(0)
    expect(selectBoundedLoad([])).to.equal(-1)
  })
})

describe('token buckets', () => {
  it('admit a rate and return the time until the next token', () => {
    const limit = new TokenBucket(2, 0)
    expect([limit.take(0), limit.take(0), limit.take(0), limit.take(500)]).to.deep.equal([0, 0, 500, 0])
  })

  it('let retries add a fifth to the load and no more', () => {
    const budget = new RetryBudget()
    while (budget.withdraw()) { /* empties the bucket, which starts full */ }
    let retries = 0
    for (let request = 0; request < 100; request++) {
      budget.deposit()
      if (budget.withdraw()) retries += 1
    }
    expect(retries).to.be.within(19, 20)
  })
})
