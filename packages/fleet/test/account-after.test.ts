import { accountAfter, type EngineAccount, type EngineOrder } from '@finchpitch/fleet'
import { expect } from 'chai'

const account: EngineAccount = {
  models: [{ name: 'm', version: 1, adapters: { a1: 1, a2: 3 } }], coming: [{ key: 'm/a3', version: 1 }], busy: false, orders: 7, waiting: 0, running: 2, cacheUsed: 0, cacheTotal: 9
}
const order = (more: Partial<EngineOrder>): EngineOrder => ({ operation: 'load', model: 'm', adapter: 'a4', expectedOrders: 7, ...more })

describe('an engine\'s account after an order', () => {
  it('has what was let go no more, and one order more', () => {
    const after = accountAfter(account, order({ operation: 'unload', adapter: 'a1' }), 'done')
    expect(after).to.deep.equal({ ...account, orders: 8, models: [{ name: 'm', version: 1, adapters: { a2: 3 } }] })
  })

  it('has what is loaded on its way, which takes a place', () => {
    const after = accountAfter(account, order({ version: 5 }), 'accepted')
    expect(after).to.deep.equal({ ...account, orders: 8, coming: [{ key: 'm/a3', version: 1 }, { key: 'm/a4', version: 5 }] })
  })

  it('is not known where the engine refused, did not answer, has it already or waits for runs, nor of a model', () => {
    for (const outcome of ['refused', 'fenced', 'moved', 'unknown', 'done'] as const) expect(accountAfter(account, order({}), outcome)).to.equal(undefined)
    expect(accountAfter(account, order({ operation: 'unload' }), 'accepted')).to.equal(undefined)
    expect(accountAfter(account, { operation: 'load', model: 'm', expectedOrders: 7 }, 'accepted')).to.equal(undefined)
  })
})
