import { silentLog, type WorkClass } from '@finchpitch/core'
import { AdapterSlots, type Pin } from '@finchpitch/daemon'
import { FakeTime, MemoryEngine, WeightStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('adapter slots', () => {
  let time: FakeTime
  let engine: MemoryEngine
  let weights: WeightStore
  let slots: AdapterSlots
  const signal = new AbortController().signal

  const pin = async (label: string, workClass: WorkClass = 'caller', patienceMs = 10_000): Promise<Pin | string> => {
    const pinned = await slots.pin({ label, source: label, class: workClass, deadline: Date.now() + patienceMs }, signal)
    return pinned.isOk() ? pinned.value : pinned.error.code
  }

  const pinOf = (pinned: Pin | string): Pin => {
    if (typeof pinned === 'string') throw new Error(pinned)
    return pinned
  }

  const make = (count: number, leftovers: string[] = []): AdapterSlots =>
    new AdapterSlots({ engine, fence: 2, slots: count, log: silentLog, random: () => 0.5, leftovers })

  beforeEach(() => {
    time = new FakeTime()
    weights = new WeightStore({ loadsPerSecond: 100, maxFullSpeedLoads: 4, loadMs: 100 })
    engine = new MemoryEngine({ slots: 2, capacity: 4, tokenMs: 10, weights, checksFences: true })
    slots = make(2)
  })

  afterEach(() => time.restore())

  it('load an adapter once for all requests that wait for it', async () => {
    await time.runUntilSettled(Promise.all(['a', 'a', 'a'].map(label => pin(label))))
    expect(weights.loads).to.equal(1)
  })

  it('never evict a pinned adapter; the next request waits until a pin is released', async () => {
    const [a] = await time.runUntilSettled(Promise.all([pin('a'), pin('b')]))
    const third = pin('c')
    await time.advance(1000)
    expect(engine.loaded).to.have.members(['a', 'b'])
    pinOf(a ?? '').release()
    await time.runUntilSettled(third)
    expect(engine.loaded).to.have.members(['b', 'c'])
  })

  it('evict the least popular adapter', async () => {
    for (const label of ['a', 'a', 'a', 'b']) pinOf(await time.runUntilSettled(pin(label))).release()
    pinOf(await time.runUntilSettled(pin('c'))).release()
    expect(engine.loaded).to.have.members(['a', 'c'])
  })

  it('load first the adapter whose waiting requests weigh most', async () => {
    slots = make(1)
    const first = pinOf(await time.runUntilSettled(pin('first')))
    const order: string[] = []
    const recordOrder = async (name: string, waited: Promise<Pin | string>): Promise<void> => {
      const pinned = pinOf(await waited)
      order.push(name)
      pinned.release()
    }
    const waiting = [recordOrder('batch', pin('batch', 'batch')), recordOrder('desk', pin('desk', 'desk'))]
    first.release()
    await time.runUntilSettled(Promise.all(waiting))
    expect(order).to.deep.equal(['desk', 'batch'])
  })

  // Guards against loading an adapter, and holding a place in the queue until the deadline, for a caller that left while the request was checked.
  it('refuse a request that was cancelled before it asked for its adapter', async () => {
    const cancelled = await slots.pin({ label: 'a', source: 'a', class: 'caller', deadline: Date.now() + 10_000 }, AbortSignal.abort())
    expect(cancelled._unsafeUnwrapErr().code).to.equal('cancelled')
    await time.advance(1000)
    expect(engine.loaded).to.deep.equal([])
  })

  describe('a load that fails', () => {
    it('is reported at once with a retry hint, and does not delay other loads', async () => {
      weights.broken.add('bad')
      expect(await time.runUntilSettled(pin('bad'))).to.equal('load_failed')
      const again = pin('bad')
      const good = pin('good')
      expect(await again).to.equal('load_failed')
      expect(pinOf(await time.runUntilSettled(good)).label).to.equal('good')
      expect(weights.loads).to.equal(2)
    })
  })

  describe('an engine', () => {
    it('that has restarted has no adapter loaded', async () => {
      pinOf(await time.runUntilSettled(pin('a'))).release()
      engine.restart()
      slots.handleRestart(engine.boot)
      expect(slots.isLoaded('a')).to.equal(false)
      expect(pinOf(await time.runUntilSettled(pin('a'))).boot).to.equal(engine.boot)
    })

    it('that an earlier process filled is cleared as its adapters become idle', async () => {
      for (const label of ['old#1', 'busy#1']) await time.runUntilSettled(engine.load({ label, source: label, fence: 1 }))
      const call = { method: 'POST', path: '/', headers: {}, body: Buffer.from('{"max_tokens":1000}') }
      const earlier = new AbortController()
      await engine.generate({ id: 'r', label: 'busy#1', call, priority: 0, salt: '', fence: 1, signal: earlier.signal })
      slots = make(2, ['old#1', 'busy#1'])
      void slots.clearLeftovers(() => true, signal)
      const pinned = pin('new#2', 'caller', 60_000)
      await time.advance(10_000)
      expect(engine.loaded).to.have.members(['busy#1', 'new#2'])
      pinOf(await pinned)
      earlier.abort()
      await time.advance(2000)
      expect([engine.loaded, engine.violations]).to.deep.equal([['new#2'], []])
    })

    it('that does not check fencing tokens is left as it was found', async () => {
      await time.runUntilSettled(engine.load({ label: 'old#1', source: 'old', fence: 1 }))
      slots = make(2, ['old#1'])
      const stop = new AbortController()
      void slots.clearLeftovers(() => false, stop.signal)
      await time.advance(20_000)
      expect(engine.loaded).to.deep.equal(['old#1'])
      stop.abort()
    })
  })
})
