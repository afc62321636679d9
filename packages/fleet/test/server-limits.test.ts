import { nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { LimitSimulation, type Arrival, type LimitPattern } from './replay/limit-simulation.js'

const windowMs = 4000
/** The bound applies starting this long after a server first advertised its limit. */
const propagationMs = 3000
const allowed = (perSecond: number): number => 1.5 * perSecond * windowMs / 1000 + 5

/** Minimum share of the limit that is used when demand exceeds it. */
const minUtilization = 0.5

describe('rate limits of servers, across all entries', function () {
  this.timeout(120_000)
  let time: FakeTime
  let simulation: LimitSimulation

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => {
    simulation.stop()
    time.restore()
  })

  const begin = (pattern: LimitPattern): void => { simulation = new LimitSimulation(time, pattern) }

  describe('are enforced and fully used', () => {
    const loads: Array<[what: string, demand: (entries: number, perSecond: number) => (entry: number) => number]> = [
      ['demand at all entries', (entries, perSecond) => () => perSecond * 5 / entries],
      ['demand at one entry', (_, perSecond) => entry => entry === 0 ? perSecond * 5 : 0],
      ['demand at a third of the entries', (entries, perSecond) => entry => entry % 3 === 0 ? perSecond * 15 / entries : 0]
    ]
    for (const entries of [3, 26, 68]) {
      for (const perSecond of [0.5, 1.3, 4.8, 50]) {
        for (const [what, demand] of loads) {
          it(`${entries} entries, ${perSecond} per second, ${what}`, async () => {
            begin({ seed: 1, entries, demand: demand(entries, perSecond) })
            await simulation.run(2000)
            const advertisedAt = nowMs()
            simulation.perSecond = perSecond
            const seconds = 30
            await simulation.run(seconds * 1000)
            const counts = ({ at }: Arrival): boolean => at > advertisedAt + propagationMs
            expect(simulation.maxRequests(windowMs, counts)).to.be.at.most(allowed(perSecond))
            expect(simulation.arrivals.filter(counts).length / (perSecond * (seconds - propagationMs / 1000))).to.be.above(minUtilization)
          })
        }
      }
    }
  })

  describe('cannot be saved up by entries', () => {
    for (const entries of [3, 26, 68]) {
      for (const perSecond of [0.5, 1.3, 4.8, 50]) {
        it(`${entries} entries, ${perSecond} per second, no demand for 8 s and then far too much`, async () => {
          let demand = 1
          begin({ seed: 2, entries, demand: () => demand })
          await simulation.run(2000)
          simulation.perSecond = perSecond
          await simulation.run(1500)
          demand = 0
          await simulation.run(8000)
          const surgeAt = nowMs()
          demand = 10 + perSecond
          await simulation.run(windowMs + 1000)
          expect(simulation.maxRequests(windowMs, ({ at }) => at > surgeAt)).to.be.at.most(allowed(perSecond))
        })
      }
    }
  })

  describe('are exceeded by few requests that check whether they still hold', () => {
    const entries = 68
    const perSecond = 0.5

    /** The most requests in a window, where demand ends after the server advertised its limit and is far too high after `idleMs`. */
    const maxInSurge = async (idleMs: number): Promise<number> => {
      let demand = 1
      begin({ seed: 2, entries, demand: () => demand })
      await simulation.run(2000)
      simulation.perSecond = perSecond
      await simulation.run(1500)
      demand = 0
      await simulation.run(idleMs)
      const surgeAt = nowMs()
      demand = 10
      await simulation.run(windowMs + 1000)
      return simulation.maxRequests(windowMs, ({ at }) => at > surgeAt)
    }

    // Each entry's time for such a request had come, and all sent theirs at once: 33 to 36 requests in 4 s of 8 allowed.
    it('after two minutes without demand', async () => {
      expect(await maxInSurge(120_000)).to.be.at.most(allowed(perSecond))
    })

    // Entries did not report that the limit was confirmed, so that up to six sent such a request within 4 s: 9 requests of 8 allowed.
    for (const seed of [1018, 1054, 1201]) {
      it(`with random times from seed ${seed}`, async () => {
        const random = Math.random
        const generator = xoroshiro128plus(seed)
        Math.random = () => uniformFloat64(generator)
        try {
          expect(await maxInSurge(8000)).to.be.at.most(allowed(perSecond))
        } finally {
          Math.random = random
        }
      })
    }
  })

  describe('at an entry', () => {
    it('apply while their server is listed, and are dropped some time after it is gone', async () => {
      begin({ seed: 3, entries: 1, demand: () => 5 })
      simulation.perSecond = 1.3
      await simulation.run(1000)
      const { limits } = simulation.entries[0] ?? expect.fail('no entry')
      for (const listed of [[simulation.server], []]) {
        await time.advance(25_000)
        limits.expire(listed)
        expect(limits.isEmpty).to.equal(false)
      }
      await time.advance(31_000)
      limits.expire([])
      expect(limits.isEmpty).to.equal(true)
    })

    it('are checked again after some time of demand, so that an entry notices that one has ended', async () => {
      begin({ seed: 5, entries: 1, demand: () => 5 })
      simulation.perSecond = 1.3
      await simulation.run(1000)
      simulation.setPartitioned(0, true)
      const { limits } = simulation.entries[0] ?? expect.fail('no entry')
      simulation.perSecond = Infinity
      await simulation.run(14_000)
      expect(limits.isEmpty).to.equal(true)
    })

    it('apply to one incarnation of their server', async () => {
      begin({ seed: 4, entries: 1, demand: () => 5 })
      simulation.perSecond = 1.3
      await simulation.run(1000)
      const { limits } = simulation.entries[0] ?? expect.fail('no entry')
      expect(limits.state(simulation.server)).to.not.equal(undefined)
      expect(limits.state({ ...simulation.server, bornAt: 2 })).to.equal(undefined)
    })
  })

  describe('are enforced', () => {
    const rates = [0.5, 1.3, 4.8, 12, 50]
    const entry = fc.integer({ min: 0, max: 25 })
    const step = fc.oneof(
      { weight: 6, arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.integer({ min: 20, max: 1500 }) }) },
      { weight: 2, arbitrary: fc.record({ type: fc.constant('name' as const), perSecond: fc.constantFrom(...rates) }) },
      { weight: 1, arbitrary: fc.record({ type: fc.constant('end' as const) }) },
      { weight: 2, arbitrary: fc.record({ type: fc.constant('cut' as const), entry }) },
      { weight: 2, arbitrary: fc.record({ type: fc.constant('heal' as const), entry }) },
      { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), entry }) },
      { weight: 1, arbitrary: fc.record({ type: fc.constant('bank' as const), bank: fc.integer({ min: 0, max: 1 }), dead: fc.boolean() }) },
      { weight: 2, arbitrary: fc.record({ type: fc.constant('flood' as const), entry, requests: fc.integer({ min: 1, max: 60 }) }) }
    )
    type Step = typeof step extends fc.Arbitrary<infer Each> ? Each : never

    /** Limits that the server advertised, and since when. */
    let advertised: Array<{ at: number, perSecond: number }>

    const advertise = (perSecond: number): void => {
      simulation.perSecond = perSecond
      advertised.push({ at: nowMs(), perSecond })
    }

    const actions: { [Type in Step['type']]: (each: Extract<Step, { type: Type }>) => Promise<void> | void } = {
      pass: ({ ms }) => simulation.run(ms),
      name: ({ perSecond }) => advertise(perSecond),
      end: () => advertise(Infinity),
      cut: ({ entry }) => { simulation.setPartitioned(entry, true) },
      heal: ({ entry }) => { simulation.setPartitioned(entry, false) },
      restart: ({ entry }) => simulation.restart(entry % simulation.entries.length),
      bank: ({ bank, dead }) => simulation.setBank(bank, !dead),
      flood: async ({ entry, requests }) => { await Promise.race([Promise.all(Array.from({ length: requests }, () => simulation.ask(entry % simulation.entries.length))), simulation.run(20)]) }
    }

    /** The highest limit in effect between `from` and `until`; `Infinity` if there was none, or not for long enough to apply. */
    const highestLimit = (from: number, until: number): number => {
      let max = 0
      for (const [index, { at, perSecond }] of [{ at: -Infinity, perSecond: Infinity }, ...advertised].entries()) {
        const next = advertised[index]?.at ?? Infinity
        // A limit may still be in use for 0.5 s after the next one was advertised; the first one after a time without a limit
        // for as long as a limit may take to propagate.
        const current = advertised[index - 1]
        const delayMs = current !== undefined && (advertised[index - 2]?.perSecond ?? Infinity) === Infinity ? propagationMs : 500
        if (next + delayMs > from && at < until) max = Math.max(max, perSecond)
      }
      return max
    }

    /** A limit that is advertised while an entry is partitioned and restarts. */
    const exceeded: [number, Step[]] = [469837273, [
      { type: 'pass', ms: 991 }, { type: 'pass', ms: 1101 }, { type: 'name', perSecond: 1.3 }, { type: 'cut', entry: 10 }, { type: 'pass', ms: 571 }, { type: 'pass', ms: 531 },
      { type: 'pass', ms: 561 }, { type: 'end' }, { type: 'heal', entry: 0 }, { type: 'pass', ms: 1481 }, { type: 'flood', entry: 0, requests: 1 }, { type: 'flood', entry: 0, requests: 1 },
      { type: 'bank', bank: 0, dead: false }, { type: 'name', perSecond: 0.5 }, { type: 'cut', entry: 0 }, { type: 'pass', ms: 491 }, { type: 'restart', entry: 0 }, { type: 'flood', entry: 19, requests: 16 }
    ]]

    for (const entries of [3, 26]) {
      it(`while any of ${entries} entries restart or are partitioned, and the limit changes`, async () => {
        await fc.assert(fc.asyncProperty(fc.integer(), fc.array(step, { minLength: 10, maxLength: 40 }), async (seed, steps) => {
          advertised = []
          begin({ seed, entries, demand: () => 12 / entries })
          for (const each of steps) await (actions[each.type] as (each: Step) => Promise<void> | void)(each)
          simulation.stop()
          // Counts requests sent more than 0.5 s after their entry first reported a limit, which has propagated by then.
          const counts = ({ at, limitReportedAt }: Arrival): boolean => limitReportedAt !== undefined && at > limitReportedAt + 500
          for (const { from, requests } of simulation.windows(windowMs, counts)) expect(requests).to.be.at.most(allowed(highestLimit(from, from + windowMs)))
        }), { numRuns: 60, examples: [exceeded] })
      })
    }
  })
})
