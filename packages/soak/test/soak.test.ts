import { soak } from '@finchpitch/soak'
import { expect } from 'chai'

/** Seeds that run on every change. Add every seed that ever showed a violation, with a line on its cause. */
const seeds = [11, 12]

describe('soak', function () {
  this.timeout(120_000)
  for (const seed of seeds) {
    it(`finds no violations with seed ${seed}`, async () => {
      const report = await soak({ seed, network: 43, faultMs: 4000, log: () => {} })
      expect(report.broken).to.deep.equal([])
      // Without a rejection, the team's flood has not tested its quota.
      expect(report.overQuota).to.be.greaterThan(0)
      // Without peers that stop reading, nothing has tested the abort.
      expect(report.stalledPeers).to.be.greaterThan(1)
      // Without requests that reach servers after the order, no planned stop was tested.
      expect(report.plannedStop.reached).to.be.greaterThan(0)
      expect(report.answered).to.be.greaterThan(report.asked / 3)
    })
  }
})
