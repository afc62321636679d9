/*
 * Guards against entries that are not bound by the leaving of a server, whatever they learned from whom and in which order: over starts,
 * stalls, lost paths to the store and records of any age. The other error counts as well: a server that is listed and gets no requests.
 *
 * FINCHPITCH_HISTORIES=COUNT:FIRST_SEED plays other histories by hand.
 */
import { expect } from 'chai'
import { LeavingSimulation, type LeavingHistory, type LeavingResult } from './replay/leaving-simulation.js'

const [count = 3, firstSeed = 690000] = (process.env.FINCHPITCH_HISTORIES ?? '').split(':').filter(part => part !== '').map(Number)
/** Of the checks of servers that are listed for longer than the drain time, at most this share may find one without requests. */
const maxSoundMissingShare = 0.01

const deployments: Array<[name: string, deployment: Omit<LeavingHistory, 'seed'>]> = [
  ['a small deployment', { domains: 3, entriesPerDomain: 1, sidesPerDomain: 2, forMs: 20_000, drainMs: 3000, contactMs: 4000, lagMs: 5 }],
  ['a large deployment with slow processes', { domains: 2, entriesPerDomain: 7, sidesPerDomain: 3, forMs: 20_000, drainMs: 3000, contactMs: 4000, lagMs: 60 }]
]

describe('random histories of leaving servers', function () {
  this.timeout(count * 60_000)

  for (const [name, deployment] of deployments) {
    describe(`in ${name}`, () => {
      const results: LeavingResult[] = []

      it('send no requests to a server later than the drain time', async () => {
        for (let seed = firstSeed; seed < firstSeed + count; seed++) {
          const result = await new LeavingSimulation({ ...deployment, seed }).run()
          results.push(result)
          expect(result.late, `seed ${seed}`).to.deep.equal([])
          expect(result.checks, `seed ${seed}`).to.be.greaterThan(100)
        }
      })

      it('send requests to the servers that are listed', () => {
        const [missing, checks] = [results.reduce((sum, each) => sum + each.soundMissing, 0), results.reduce((sum, each) => sum + each.soundChecks, 0)]
        if (process.env.FINCHPITCH_HISTORIES !== undefined) console.log(`${missing} of ${checks} checks of listed servers lacked them; ${results.reduce((sum, each) => sum + each.checks, 0)} checks of leaving ones`)
        expect(missing / checks).to.be.lessThan(maxSoundMissingShare)
      })
    })
  }
})
