import { quietLog, type WorkClass } from '@finchpitch/core'
import { Slots, type Pin } from '@finchpitch/daemon'
import { FakeTime, MemoryEngine, WeightStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('slots', () => {
  let time: FakeTime
  let engine: MemoryEngine
  let weights: WeightStore
  let slots: Slots
  const open = new AbortController().signal

  const pin = async (label: string, workClass: WorkClass = 'caller', patienceMs = 10_000): Promise<Pin | string> => {
    const pinned = await slots.pin({ label, source: label, class: workClass, deadline: Date.now() + patienceMs }, open)
    return pinned.isOk() ? pinned.value : pinned.error.code
  }

  const held = (pinned: Pin | string): Pin => {
    if (typeof pinned === 'string') throw new Error(pinned)
    return pinned
  }

  const make = (count: number, leftovers: string[] = []): Slots =>
    new Slots({ engine, fence: 2, slots: count, log: quietLog, random: () => 0.5, leftovers })

  beforeEach(() => {
    time = new FakeTime()
    weights = new WeightStore({ loadsPerSecond: 100, fullSpeedPlaces: 4, loadMs: 100 })
    engine = new MemoryEngine({ slots: 2, capacity: 4, tokenMs: 10, weights, checksFences: true })
    slots = make(2)
  })

  afterEach(() => time.restore())

  it('loads an adapter once for all that wait for it', async () => {
    await time.until(Promise.all(['a', 'a', 'a'].map(label => pin(label))))
    expect(weights.loads).to.equal(1)
  })

  it('never unloads a pinned adapter; the next waits until one is released', async () => {
    const [a] = await time.until(Promise.all([pin('a'), pin('b')]))
    const third = pin('c')
    await time.pass(1000)
    expect(engine.loaded).to.have.members(['a', 'b'])
    held(a ?? '').release()
    await time.until(third)
    expect(engine.loaded).to.have.members(['b', 'c'])
  })

  it('puts out the adapter that is asked for least', async () => {
    for (const label of ['a', 'a', 'a', 'b']) held(await time.until(pin(label))).release()
    held(await time.until(pin('c'))).release()
    expect(engine.loaded).to.have.members(['a', 'c'])
  })

  it('loads first what waiting callers lose most by', async () => {
    slots = make(1)
    const first = held(await time.until(pin('first')))
    const order: string[] = []
    const note = async (name: string, waited: Promise<Pin | string>): Promise<void> => {
      const pinned = held(await waited)
      order.push(name)
      pinned.release()
    }
    const waiting = [note('batch', pin('batch', 'batch')), note('desk', pin('desk', 'desk'))]
    first.release()
    await time.until(Promise.all(waiting))
    expect(order).to.deep.equal(['desk', 'batch'])
  })

  describe('a load that fails', () => {
    it('is told at once with a time to come back, and holds up no other', async () => {
      weights.broken.add('bad')
      expect(await time.until(pin('bad'))).to.equal('load_failed')
      const again = pin('bad')
      const good = pin('good')
      expect(await again).to.equal('load_failed')
      expect(held(await time.until(good)).label).to.equal('good')
      expect(weights.loads).to.equal(2)
    })
  })

  describe('an engine', () => {
    it('that has restarted holds nothing any more', async () => {
      held(await time.until(pin('a'))).release()
      engine.restart()
      slots.restarted(engine.boot)
      expect(slots.holds('a')).to.equal(false)
      expect(held(await time.until(pin('a'))).boot).to.equal(engine.boot)
    })

    it('that an earlier process filled is cleared as its adapters fall idle', async () => {
      for (const label of ['old#1', 'busy#1']) await time.until(engine.load({ label, source: label, fence: 1 }))
      const call = { method: 'POST', path: '/', headers: {}, body: Buffer.from('{"max_tokens":1000}') }
      const earlier = new AbortController()
      await engine.generate({ id: 'r', label: 'busy#1', call, priority: 0, salt: '', fence: 1, signal: earlier.signal })
      slots = make(2, ['old#1', 'busy#1'])
      void slots.clearLeftovers(() => true, open)
      const pinned = pin('new#2', 'caller', 60_000)
      await time.pass(10_000)
      expect(engine.loaded).to.have.members(['busy#1', 'new#2'])
      held(await pinned)
      earlier.abort()
      await time.pass(2000)
      expect([engine.loaded, engine.violations]).to.deep.equal([['new#2'], []])
    })

    it('that does not check fences is left as it was found', async () => {
      await time.until(engine.load({ label: 'old#1', source: 'old', fence: 1 }))
      slots = make(2, ['old#1'])
      const stop = new AbortController()
      void slots.clearLeftovers(() => false, stop.signal)
      await time.pass(20_000)
      expect(engine.loaded).to.deep.equal(['old#1'])
      stop.abort()
    })
  })
})
