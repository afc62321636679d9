/*
 * Compares the state of an engine that a side process maintains with each change with the same state computed from scratch, over
 * random histories.
 */
import { isDeepStrictEqual } from 'node:util'
import { Demands, EngineUpdate, Subscriber, roomIn, type EngineSnapshot, type EngineSpec, type EngineStatus } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { FrameDecoder, type Frame } from '@finchpitch/wire'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { expect } from 'chai'

const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
const adapters = ['a', 'b', 'c', 'd', 'e']
const keys = adapters.map(name => `m/${name}`)
const entries = ['entry-1', 'entry-2', 'entry-3']

/** Draws integers from `min` to `max`, inclusive. */
type Draw = (min: number, max: number) => number

const drawFrom = (seed: number): Draw => {
  const random = xoroshiro128plus(seed)
  return (min, max) => uniformInt(random, min, max)
}

const pick = <T>(draw: Draw, list: readonly T[]): T => list[draw(0, list.length - 1)] as T
const pickSome = <T>(draw: Draw, list: readonly T[]): T[] => list.filter(() => draw(0, 1) === 1)

/** All reports of uses, with every figure summed up over them when it is asked for. */
class ReportedUses {
  readonly #entries = new Map<string, { at: number, unread: number, running: Map<string, number> }>()
  readonly #loadedAt = new Map<string, number>()

  report (entry: string, uses: ReadonlyArray<readonly [string, number, number]>, unread: number): { idle: boolean, used: boolean } {
    const of = this.#entries.get(entry) ?? { at: 0, unread, running: new Map<string, number>() }
    this.#entries.set(entry, Object.assign(of, { at: performance.now(), unread }))
    const change = { idle: false, used: false }
    for (const [key, , running] of uses) {
      this.#loadedAt.delete(key)
      const before = of.running.get(key) ?? 0
      of.running.set(key, running)
      if (running > 0 && before === 0) change.used = true
      if (running === 0 && before > 0 && this.uses(key) === 0) change.idle = true
    }
    return change
  }

  recordLoaded (key: string): void {
    this.#loadedAt.set(key, performance.now())
  }

  forget (entry: string): void {
    this.#entries.delete(entry)
  }

  get #recent (): Array<{ unread: number, running: Map<string, number> }> {
    return [...this.#entries.values()].filter(({ at }) => performance.now() - at < 3000)
  }

  uses (key: string): number {
    const justLoaded = performance.now() - (this.#loadedAt.get(key) ?? -Infinity) < 500 ? 1 : 0
    return this.#recent.reduce((sum, { running }) => sum + (running.get(key) ?? 0), justLoaded)
  }

  get unread (): number {
    return this.#recent.reduce((sum, { unread }) => sum + unread, 0)
  }
}

const specWith = (adapterSlots: number): EngineSpec =>
  ({ batchSize: 8, adapterSlots, weightMemoryMb: 1050, loadsPerSecond: 9, models: [{ name: 'm', memoryMb: 1000, adapterMemoryMb: 12 }] })

const roomFromScratch = (spec: EngineSpec, status: EngineStatus, uses: (key: string) => number, demanded: readonly string[]): { room: number, queued: number } => {
  const loaded = Object.keys(status.models[0]?.adapters ?? {}).map(name => `m/${name}`)
  const coming = status.coming.map(({ key }) => key)
  const taken = loaded.length + coming.length
  const byMemory = Math.floor((spec.weightMemoryMb - 1000 - taken * 12) / 12)
  const idle = loaded.filter(key => uses(key) === 0).length
  const queued = demanded.filter(key => !loaded.includes(key) && !coming.includes(key)).length
  return { room: Math.max(0, Math.min(spec.adapterSlots - taken, byMemory) + idle - queued), queued }
}

const drawStatus = (draw: Draw): EngineStatus => {
  const loaded = pickSome(draw, adapters)
  return {
    models: [{ name: 'm', version: 1, adapters: Object.fromEntries(loaded.map(name => [name, draw(1, 2)])) }],
    coming: pickSome(draw, adapters).filter(name => !loaded.includes(name)).map(name => ({ key: `m/${name}`, version: 1 })),
    busy: false,
    orders: 0,
    waiting: 0,
    running: 0,
    cacheUsed: 0,
    cacheTotal: 1
  }
}

describe('the state of an engine kept by its side process', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })

  afterEach(() => time.restore())

  // Guards against uses that are counted twice or left over when entries fall silent, report again, or leave.
  it('has the uses, unread tokens and room of the sums over all reports', () => {
    for (const seed of seeds) {
      const draw = drawFrom(seed)
      const demands = new Demands()
      const reports = new ReportedUses()
      let [spec, status] = [specWith(4), drawStatus(draw)]
      const steps = {
        report: () => {
          const [entry, unread] = [pick(draw, entries), draw(0, 3000)]
          const uses = pickSome(draw, keys).map(key => [key, draw(0, 2), draw(0, 2)] as const)
          expect(demands.recordUses(entry, uses, unread)).to.deep.equal(reports.report(entry, uses, unread))
        },
        load: () => {
          const key = pick(draw, keys)
          if (demands.has(key)) reports.recordLoaded(key)
          demands.resolve(key, true)
        },
        demand: () => demands.ask(pick(draw, entries), { key: pick(draw, keys), waiting: draw(0, 2), priority: 1 }),
        leave: () => {
          const entry = pick(draw, entries)
          demands.forgetEntry(entry)
          reports.forget(entry)
        },
        status: () => { status = drawStatus(draw) },
        spec: () => { spec = specWith(draw(2, 5)) },
        time: () => time.advanceSync(pick(draw, [1, 200, 499, 500, 1400, 2999, 3000]))
      }
      for (let step = 0; step < 300; step++) {
        const name = pick(draw, ['report', 'report', 'report', 'load', 'demand', 'leave', 'status', 'spec', 'time', 'time'] as const)
        steps[name]()
        const about = `seed ${seed}, step ${step}, ${name}`
        for (const key of keys) expect(demands.uses(key), about).to.equal(reports.uses(key))
        expect(demands.unread, about).to.equal(reports.unread)
        const demanded = [...demands.keys()]
        expect(roomIn({ spec, status, uses: key => demands.uses(key) }, demanded), about).to.deep.equal(roomFromScratch(spec, status, key => reports.uses(key), demanded))
      }
    }
  })

  describe('and published', () => {
    const own = '10.0.0.1'

    const subscriberTo = (frames: Frame[]): Subscriber => {
      const decoder = new FrameDecoder()
      const channel = {
        send: () => true,
        sendEncoded: (encoded: Buffer[]) => { for (const frame of encoded) frames.push(...decoder.read(frame)._unsafeUnwrap()) },
        beat: () => {}
      }
      const subscriber = new Subscriber({ channel: channel as never, isLocal: true, engineHost: own })
      subscriber.setSubscriptions([own])
      return subscriber
    }

    // Guards against frames that are kept too long, and against changes that a shorter comparison misses.
    it('is sent in the same frames whether unchanged updates are kept or made anew', () => {
      for (const seed of seeds) {
        const draw = drawFrom(seed)
        const sent = { kept: [] as Frame[], anew: [] as Frame[] }
        const [kept, anew] = [subscriberTo(sent.kept), subscriberTo(sent.anew)]
        let snapshot: EngineSnapshot = { host: own, changes: 0, held: new Map(), coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unread: 0, entries: 1, strangers: 0, batchSize: 8 }
        let update = new EngineUpdate(snapshot)
        const change = (more: Partial<EngineSnapshot>): void => { snapshot = { ...snapshot, ...more } }
        const changes = [
          () => change({ held: new Map(pickSome(draw, keys).map(key => [key, draw(1, 2)])), changes: snapshot.changes + 1 }),
          () => change({ coming: pickSome(draw, keys), changes: snapshot.changes + 1 }),
          () => change({ reachable: draw(0, 1) === 1, server: pick(draw, ['s', 't', undefined]), bornAt: pick(draw, [1, undefined]), leaving: draw(0, 1) === 1 }),
          () => change({ waiting: draw(0, 3), running: draw(0, 8), unread: draw(0, 5000) }),
          () => change({ room: pick(draw, [undefined, 0, 1, 5]), slotMs: pick(draw, [0, 50, 150]) }),
          () => change({ prefillMs: pick(draw, [undefined, 20, 30]), tokenMs: pick(draw, [undefined, 4, 5]) }),
          () => change({ entries: draw(1, 2), strangers: draw(0, 1), batchSize: pick(draw, [8, 32]) }),
          () => { if (draw(0, 3) === 0) for (const subscriber of [kept, anew]) subscriber.recordDemand(pick(draw, keys.slice(0, 1))) },
          () => change({})
        ]
        for (let step = 0; step < 200; step++) {
          pick(draw, changes)()
          time.advanceSync(pick(draw, [0, 5, 50, 100, 200, 800]))
          if (!update.hasSameState(snapshot)) update = new EngineUpdate(snapshot)
          kept.publish(update, new Map())
          anew.publish(new EngineUpdate({ ...snapshot, held: new Map(snapshot.held), coming: [...snapshot.coming] }), new Map())
          expect(isDeepStrictEqual(sent.kept, sent.anew), `seed ${seed}, step ${step}`).to.equal(true)
        }
        expect(sent.kept.length).to.be.greaterThan(50)
      }
    })
  })
})
