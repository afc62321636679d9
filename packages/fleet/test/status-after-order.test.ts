import { statusAfterOrder, type EngineStatus, type EngineOrder } from '@finchpitch/fleet'
import { expect } from 'chai'

const status: EngineStatus = {
  models: [{ name: 'm', version: 1, adapters: { a1: 1, a2: 3 } }], coming: [{ key: 'm/a3', version: 1 }], busy: false, orders: 7, waiting: 0, running: 2, cacheUsed: 0, cacheTotal: 9
}
const orderWith = (more: Partial<EngineOrder>): EngineOrder => ({ operation: 'load', model: 'm', adapter: 'a4', expectedOrders: 7, ...more })

describe('predicted status of an engine after an order', () => {
  it('removes an unloaded adapter and counts the order', () => {
    const predicted = statusAfterOrder(status, orderWith({ operation: 'unload', adapter: 'a1' }), 'done')
    expect(predicted).to.deep.equal({ ...status, orders: 8, models: [{ name: 'm', version: 1, adapters: { a2: 3 } }] })
  })

  it('lists a load as in progress, which takes up a slot', () => {
    const predicted = statusAfterOrder(status, orderWith({ version: 5 }), 'accepted')
    expect(predicted).to.deep.equal({ ...status, orders: 8, coming: [{ key: 'm/a3', version: 1 }, { key: 'm/a4', version: 5 }] })
  })

  it('is unknown if the engine refuses, does not answer, has loaded it already or waits for running requests, and for models', () => {
    for (const outcome of ['refused', 'fenced', 'moved', 'unknown', 'done'] as const) expect(statusAfterOrder(status, orderWith({}), outcome)).to.equal(undefined)
    expect(statusAfterOrder(status, orderWith({ operation: 'unload' }), 'accepted')).to.equal(undefined)
    expect(statusAfterOrder(status, { operation: 'load', model: 'm', expectedOrders: 7 }, 'accepted')).to.equal(undefined)
  })
})
