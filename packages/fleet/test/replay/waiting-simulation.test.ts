import type { Choice } from '@finchpitch/fleet'
import { expect } from 'chai'
import { WaitingSimulation, type SimulatedAttempt, type WaitingPattern } from './waiting-simulation.js'

const limited: Choice = { type: 'limited', readyInMs: 17, everyMs: 17, reason: 'limited' }
const others = ['a', 'b', 'c'].map(team => ({ team, perSecond: () => 6 }))
/** 78 requests per second for 60 starts per second; one team sends 60 of them. */
const overload: WaitingPattern = {
  seed: 1, ms: 8000, slots: () => 6, runMs: 100, objectiveMs: 500, timeoutMs: 5000, teams: [{ team: 'flood', perSecond: () => 60 }, ...others]
}
const capacityPerSecond = 60
const scanDelayMs = 12

const quantile = (values: number[], share: number): number => values.sort((a, b) => a - b)[Math.floor(values.length * share)] ?? NaN
const of = (attempts: SimulatedAttempt[], flood: boolean): SimulatedAttempt[] => attempts.filter(each => (each.team === 'flood') === flood)
const served = (attempts: SimulatedAttempt[]): SimulatedAttempt[] => attempts.filter(each => each.result === 'started')

const printErrors = (name: string, attempts: SimulatedAttempt[]): void => {
  const errors = served(attempts).flatMap(({ expectedMs, ms }) => expectedMs === undefined ? [] : [expectedMs - ms])
  const quantiles = [0.05, 0.25, 0.5, 0.75, 0.95].map(share => `${share * 100}%: ${Math.round(quantile(errors, share))} ms`)
  console.log(`        expected minus actual wait, ${name}, ${errors.length} requests: ${quantiles.join(', ')}`)
}

describe('replay of requests that wait', function () {
  this.timeout(60_000)

  for (const [name, busy] of [['full', undefined], ['limited', limited]] as const) {
    describe(`in an overload by one team, with servers that are ${name}`, () => {
      let simulation: WaitingSimulation
      let attempts: SimulatedAttempt[]

      before(async () => {
        simulation = await new WaitingSimulation({ ...overload, busy }).run()
        attempts = simulation.attempts
        printErrors(name, attempts)
      })

      it('starts the requests of other teams within half of their objective', () => {
        expect(of(attempts, false).every(({ result, ms }) => result === 'started' && ms <= 250)).to.equal(true)
      })

      it('keeps the queue shorter than what can start while the last request may wait', () => {
        expect(simulation.maxWaiting).to.be.lessThan(capacityPerSecond * overload.timeoutMs / 1000 * 0.45)
      })

      it('leaves the flooding team the capacity that others don\'t use, and leaves no request unanswered', () => {
        const during = served(attempts).filter(({ at, ms }) => at + ms >= 1000 && at + ms < overload.ms)
        // The stand-in servers have no queue of their own, so a slot is idle until the next scan.
        expect(during.length).to.be.greaterThan(capacityPerSecond * overload.runMs / (overload.runMs + scanDelayMs) * (overload.ms / 1000 - 1))
        expect(attempts.every(({ result }) => result !== undefined)).to.equal(true)
      })
    })
  }

  it('serves others late in the same overload if teams are not known', async () => {
    const { attempts } = await new WaitingSimulation({ ...overload, knowsTeams: false }).run()
    expect(quantile(of(attempts, false).map(({ ms }) => ms), 0.5)).to.be.greaterThan(250)
  })

  it('serves nine of ten callers that return as told, and rejects most others at once', async () => {
    const { attempts } = await new WaitingSimulation({ ...overload, busy: limited }).run()
    const returned = attempts.filter(({ asTold }) => asTold)
    expect(returned).to.have.length.greaterThan(30)
    expect(served(returned).length).to.be.at.least(0.9 * returned.length)
    const refused = attempts.filter(({ early, returning }) => early && !returning)
    expect(quantile(refused.map(({ ms }) => ms), 0.5)).to.be.lessThan(20)
  })

  it('rejects within 20 ms what can\'t be served, when one team sends several times the capacity', async () => {
    const { attempts } = await new WaitingSimulation({ ...overload, teams: [{ team: 'flood', perSecond: () => 400 }, ...others] }).run()
    const refused = attempts.filter(({ result, returning, at }) => result === 'refused' && !returning && at > 1500)
    expect(refused.filter(({ early, ms }) => early && ms < 20).length).to.be.greaterThan(0.8 * refused.length)
  })

  describe('when half of the servers fail and return', () => {
    const attempts: SimulatedAttempt[] = []

    before(async () => {
      const teams = ['a', 'b', 'c', 'd'].map(team => ({ team, perSecond: () => 11 }))
      for (const seed of [1, 2, 3, 4]) {
        const simulation = await new WaitingSimulation({ ...overload, seed, ms: 14_000, teams, slots: ms => ms > 4000 && ms < 7000 ? 3 : 6 }).run()
        attempts.push(...simulation.attempts)
      }
      printErrors('while half of the servers are gone', attempts)
    })

    it('refuses nothing before, and starts requests soon again once callers that were told to return have been served', () => {
      expect(attempts.filter(({ at, result }) => at < 4000 && result === 'refused')).to.deep.equal([])
      expect(quantile(attempts.filter(({ at }) => at > 11_000).map(({ ms }) => ms), 0.9)).to.be.lessThan(250)
    })

    it('rejects no request that could still be in time, half a second after the servers are back', () => {
      const inTime = ({ returning, ms }: SimulatedAttempt): boolean => !returning && ms < overload.objectiveMs
      expect(attempts.filter(each => each.at > 7500 && each.early && inTime(each))).to.deep.equal([])
    })

    it('rejects no request early, half a second after the servers are back', () => {
      expect(attempts.filter(({ at, early }) => at > 7500 && early)).to.deep.equal([])
    })
  })

  it('does not affect requests that find free capacity', async () => {
    const { attempts } = await new WaitingSimulation({ ...overload, slots: () => 1000 }).run()
    expect(attempts.every(({ result, ms, expectedMs }) => result === 'started' && ms === 0 && expectedMs === undefined)).to.equal(true)
  })
})
