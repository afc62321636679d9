import { decidePlacement, roomIn, type Demand, type EngineStatus, type EngineSpec, type PlacementInput } from '@finchpitch/fleet'
import { expect } from 'chai'

const spec: EngineSpec = {
  batchSize: 32,
  adapterSlots: 3,
  weightMemoryMb: 1100,
  loadsPerSecond: 9,
  models: [{ name: 'm', memoryMb: 1000, adapterMemoryMb: 12 }]
}

const stateWith = (adapters: Record<string, number>, more: Partial<EngineStatus> = {}): EngineStatus => ({
  models: [{ name: 'm', version: 1, adapters }], coming: [], busy: false, orders: 7, waiting: 0, running: 0, cacheUsed: 0, cacheTotal: 1000, ...more
})

const demand = (key: string): Demand => ({ key, waiting: 1, priority: 1, waitedMs: 1000 })

const inputWith = (more: Partial<PlacementInput>): PlacementInput => ({
  spec, status: stateWith({}), demands: [], newestVersion: () => undefined, popularity: () => 0, uses: () => 0, canLoad: () => true, ...more
})

describe('placement', () => {
  describe('of models', () => {
    it('loads the first model of the service on an empty engine', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({}, { models: [], orders: 0 }) }))
      expect(placement).to.deep.include({ type: 'order', order: { operation: 'load', model: 'm', version: undefined, expectedOrders: 0 } })
    })

    it('waits while a model is being loaded', () => {
      expect(decidePlacement(inputWith({ status: stateWith({}, { models: [], busy: true }) })).type).to.equal('nothing')
    })

    it('respects the rate limit of the weight store', () => {
      expect(decidePlacement(inputWith({ status: stateWith({}, { models: [] }), canLoad: () => false })).type).to.equal('nothing')
    })
  })

  describe('of adapters', () => {
    it('loads a demanded adapter into a free slot, with the order count at the decision', () => {
      const placement = decidePlacement(inputWith({ demands: [demand('m/a')] }))
      expect(placement).to.deep.include({ type: 'order', order: { operation: 'load', model: 'm', adapter: 'a', version: undefined, expectedOrders: 7 } })
    })

    it('counts loads in progress as used slots', () => {
      const coming = [{ key: 'm/x', version: 1 }, { key: 'm/y', version: 1 }]
      const placement = decidePlacement(inputWith({ status: stateWith({ z: 1 }, { coming }), demands: [demand('m/a')] }))
      expect(placement).to.deep.include({ type: 'order', reason: 'makes room for m/a' })
      expect(placement).to.have.nested.property('order.operation', 'unload')
      expect(placement).to.have.nested.property('order.adapter', 'z')
    })

    it('starts no load beyond those allowed', () => {
      const status = stateWith({}, { coming: [{ key: 'm/x', version: 1 }, { key: 'm/y', version: 1 }] })
      expect(decidePlacement(inputWith({ status, demands: [demand('m/a')], maxLoads: 2 })).type).to.equal('nothing')
      expect(decidePlacement(inputWith({ status, demands: [demand('m/a')], maxLoads: 3 })).type).to.equal('order')
    })

    it('evicts the least popular adapter that is not in use', () => {
      const placement = decidePlacement(inputWith({
        status: stateWith({ x: 1, y: 1, z: 1 }),
        demands: [demand('m/a')],
        popularity: key => ({ 'm/x': 5, 'm/y': 1, 'm/z': 0 })[key] ?? 0,
        uses: key => key === 'm/z' ? 1 : 0
      }))
      expect(placement).to.have.nested.property('order.adapter', 'y')
    })

    it('declines while every slot is in use', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1, y: 1, z: 1 }), demands: [demand('m/a')], uses: () => 1 }))
      expect(placement).to.deep.equal({ type: 'declined', key: 'm/a', reason: 'no_place' })
    })

    it('waits a moment for a free slot before it declines', () => {
      const full = { status: stateWith({ a: 1, b: 1, c: 1 }), uses: () => 1 }
      expect(decidePlacement(inputWith({ ...full, demands: [{ ...demand('m/x'), waitedMs: 0 }] })).type).to.equal('nothing')
      expect(decidePlacement(inputWith({ ...full, demands: [{ ...demand('m/x'), waitedMs: 0 }, demand('m/y')] }))).to.include({ type: 'declined', key: 'm/y' })
    })

    it('keeps a demand of an entry that knows of no free slot', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1, y: 1, z: 1 }), demands: [{ ...demand('m/a'), keep: true }], uses: () => 1 }))
      expect(placement.type).to.equal('nothing')
    })

    it('has room for free slots and idle adapters, less the demands that take them', () => {
      const input = inputWith({ status: stateWith({ x: 1, y: 1 }), uses: key => key === 'm/x' ? 1 : 0 })
      expect(roomIn(input, [])).to.deep.equal({ room: 2, queued: 0 })
      expect(roomIn(input, ['m/a', 'm/x'])).to.deep.equal({ room: 1, queued: 1 })
      expect(roomIn(input, ['m/a', 'm/b', 'm/c'])).to.deep.equal({ room: 0, queued: 3 })
    })

    it('respects the memory limit in addition to the slots', () => {
      const tight = { ...spec, weightMemoryMb: 1020 }
      const placement = decidePlacement(inputWith({ spec: tight, status: stateWith({ x: 1 }), demands: [demand('m/a')] }))
      expect(placement).to.have.nested.property('order.operation', 'unload')
    })

    it('declines an adapter of a model that is not loaded and can not be', () => {
      const placement = decidePlacement(inputWith({ demands: [demand('other/a')] }))
      expect(placement).to.deep.equal({ type: 'declined', key: 'other/a', reason: 'unknown_model' })
    })
  })

  describe('of named versions', () => {
    const newest = (key: string): number | undefined => key === 'm/x' ? 2 : undefined

    it('replaces an adapter in use while a slot is free', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1 }), newestVersion: newest, uses: () => 1 }))
      expect(placement).to.deep.include({ order: { operation: 'load', model: 'm', adapter: 'x', version: 2, expectedOrders: 7 } })
    })

    it('unloads an outdated adapter that is not requested', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1 }), newestVersion: newest }))
      expect(placement).to.have.nested.property('order.operation', 'unload')
    })

    it('evicts another adapter rather than one in use when all slots are taken', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1, y: 1, z: 1 }), newestVersion: newest, uses: key => key === 'm/x' ? 1 : 0, popularity: () => 9 }))
      expect(placement).to.have.nested.property('order.operation', 'unload')
      expect(placement).to.not.have.nested.property('order.adapter', 'x')
    })

    it('does nothing while the newer version is being loaded', () => {
      const placement = decidePlacement(inputWith({ status: stateWith({ x: 1 }, { coming: [{ key: 'm/x', version: 2 }] }), newestVersion: newest, uses: () => 1 }))
      expect(placement.type).to.equal('nothing')
    })
  })
})
