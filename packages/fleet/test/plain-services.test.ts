/*
 * Guards against a flood of a plain service by one team: 480 of its requests per second and 240 of the others met four servers that
 * serve at most 558, behind 28 entries that each saw a few of them. All sent until the servers' queues were full, so that the
 * median response time of every team rose from 45 to 210 ms, and one arrival in five was refused by a server.
 */
import { nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { PlainServiceSimulation, objectiveMs, serverCount, slots, type Ended } from './replay/plain-service-simulation.js'

const entryCount = 28
const flooding = 'flood'
const teams = Array.from({ length: 15 }, (_, index) => `team-${index}`)
/** Seeds that failed before a single request of a team no longer counted as demand, and before the bank was asked first. */
const slowServerSeeds = [4, 8, 15, 37]
const lostBankSeeds = [4, 2, 12]
const calmAfterSeeds = [3, 10, 16, 22]
const calmMs = 6000
const floodMs = 6500

type Demand = PlainServiceSimulation['demand']

/** Requests of the other teams, evenly over all entries. */
const usual: Demand = () => teams.map(team => [team, 240 / teams.length / entryCount])
/** The same, and a flood at the first `entries` of them. */
const floodAt = (entries: number): Demand => entry => [...usual(entry), ...(entry < entries ? [[flooding, 480 / entries] as [string, number]] : [])]

const inTime = ({ served, at, endedAt }: Ended): boolean => served && endedAt - at <= objectiveMs
const shareOf = (ended: Ended[], which: (each: Ended) => boolean): number => ended.filter(which).length / ended.length

describe('plain services with fewer slots than entries', function () {
  this.timeout(120_000)
  let time: FakeTime
  let simulation: PlainServiceSimulation

  beforeEach(() => { time = new FakeTime() })
  afterEach(async () => {
    await simulation.stop()
    time.restore()
  })

  const begin = async (seed: number): Promise<void> => {
    simulation = new PlainServiceSimulation(time, seed, entryCount)
    simulation.demand = usual
    await simulation.run(calmMs)
  }

  /** Runs for a time, and returns the requests that ended in it and the share of the slots' time that was used. */
  const observe = async (ms: number, during = async (): Promise<void> => await simulation.run(ms)): Promise<{ others: Ended[], flood: Ended[], all: Ended[], used: number }> => {
    const busyMs = (): number => simulation.servers.reduce((sum, server) => sum + server.busyMs, 0)
    const [first, busyBefore] = [simulation.ended.length, busyMs()]
    await during()
    const all = simulation.ended.slice(first)
    const used = (busyMs() - busyBefore) / (ms * serverCount * slots)
    return { all, others: all.filter(({ team }) => team !== flooding), flood: all.filter(({ team }) => team === flooding), used }
  }

  const refusalsPerArrival = (all: Ended[]): number => all.reduce((sum, { refusals }) => sum + refusals, 0) / all.length

  describe('in a flood by one team', () => {
    const floods: Array<[where: string, entries: number]> = [['three entries', 3], ['all entries', entryCount]]
    for (const [where, entries] of floods) {
      it(`at ${where} serve the other teams in time, and the flooding one with what they leave`, async () => {
        await begin(1)
        simulation.demand = floodAt(entries)
        const { all, others, flood, used } = await observe(floodMs)
        expect(shareOf(others, inTime), 'others in time').to.be.at.least(0.95)
        expect(refusalsPerArrival(all), 'refusals').to.be.below(0.05)
        expect(used, 'capacity used').to.be.at.least(0.85)
        // What can't start within half of its objective is rejected by then, and told when to return.
        const rejected = flood.filter(({ served }) => !served)
        expect(Math.max(...rejected.map(({ at, endedAt }) => endedAt - at))).to.be.at.most(objectiveMs / 2 + 1)
        expect(shareOf(rejected, ({ notBeforeMs }) => notBeforeMs > 0)).to.be.above(0.9)
      })
    }
  })

  it('are neither limited nor exchange anything while calm', async () => {
    await begin(2)
    const { all } = await observe(10_000)
    expect(simulation.frames).to.equal(0)
    expect(shareOf(all, ({ served }) => served)).to.equal(1)
  })

  for (const seed of calmAfterSeeds) {
    it(`are limited no longer some seconds after a flood, with seed ${seed}`, async () => {
      await begin(seed)
      simulation.demand = floodAt(3)
      await simulation.run(2000)
      simulation.demand = usual
      await simulation.run(5000)
      expect(simulation.entries.filter(({ plain }) => !plain.isIdle)).to.deep.equal([])
    })
  }

  // Guards against a replay whose result depends on other tests or on the load of the machine.
  it('give the same result for a seed, whatever time has passed on the boot-time clock', async () => {
    const results: string[] = []
    for (const suspendedForMs of [0, 1237]) {
      time.suspend(suspendedForMs)
      await begin(4)
      simulation.demand = floodAt(entryCount)
      await simulation.run(1500)
      results.push(JSON.stringify(simulation.ended.map(({ at, endedAt, ...rest }) => ({ ...rest, ms: endedAt - at }))))
      await simulation.stop()
    }
    expect(results[0] === results[1]).to.equal(true)
  })

  describe('in a flood with a single failure', () => {
    const failures: Array<[what: string, seeds: readonly number[], fail: () => Promise<void> | void]> = [
      ['the bank is killed', lostBankSeeds, () => simulation.killBank()],
      ['an entry joins', [4], () => simulation.join(0)],
      ['a server is slower for 0.6 s', slowServerSeeds, async () => {
        const [server] = simulation.servers
        if (server === undefined) return
        server.pace = 2.5
        await simulation.run(600)
        server.pace = 1
      }],
      ['estimates are half of the service time', [4], () => { for (const { plain } of simulation.entries) for (let each = 0; each < 200; each++) plain.recordResponse(simulation.servers[0]?.server ?? expect.fail(), 21) }]
    ]
    for (const [what, seeds, fail] of failures) {
      for (const seed of seeds) {
        it(`serve the other teams in time although ${what}, with seed ${seed}`, async () => {
          await begin(seed)
          simulation.demand = floodAt(entryCount)
          await simulation.run(1500)
          const { all, others } = await observe(4000, async () => {
            const until = nowMs() + 4000
            await fail()
            await simulation.run(until - nowMs())
          })
          expect(shareOf(others, inTime), 'others in time').to.be.at.least(0.95)
          expect(refusalsPerArrival(all), 'refusals').to.be.below(0.05)
        })
      }
    }
  })
})
