import { quarantineLimits, type QuarantineLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import { CrashSimulation, type CrashCounts, type CrashPattern } from './crash-simulation.js'

/** Three seeds suffice to tell the policies apart; the figures in the comment on the default limits are means of ten. */
const seeds = 3
const never = 1e9

/** The mean of the simulations over all seeds. */
const simulatedMean = (limits: QuarantineLimits, pattern: CrashPattern): CrashCounts => {
  const sum: CrashCounts = { lost: 0, refused: 0, crashes: 0 }
  for (let seed = 1; seed <= seeds; seed++) {
    const { lost, refused, crashes } = new CrashSimulation(limits, pattern, seed).run()
    sum.lost += lost / seeds
    sum.refused += refused / seeds
    sum.crashes += crashes / seeds
  }
  return sum
}

const format = ({ lost, refused, crashes }: CrashCounts): string => `lost ${lost.toFixed(1)} (refused ${refused.toFixed(1)}), engine crashes ${crashes.toFixed(1)}`

describe('a simulation of engine crashes', function () {
  this.timeout(60_000)

  const patterns: Array<[string, CrashPattern]> = [
    ['caused by one request, sent every 1.3 s', { fatalIntervalMs: 1300 }],
    ['one every 3 s, of another cause', { crashIntervalMs: 3000 }],
    ['three at once every 10 s, of another cause', { crashIntervalMs: 10_000, simultaneousCrashes: 3 }],
    ['caused by one request, sent every 1.3 s, and one every 3 s of another cause', { fatalIntervalMs: 1300, crashIntervalMs: 3000 }]
  ]
  const keepMs = 600_000
  const common = { partThreshold: never, keepMs, probeBackoffMs: [keepMs], probeMs: 15_000, probes: 2, most: 2000 }
  const oneCrash: QuarantineLimits = { shortThreshold: 1, shortQuarantineMs: keepMs, longThreshold: 1, ...common }
  const neverRefused: QuarantineLimits = { shortThreshold: never, shortQuarantineMs: 0, longThreshold: never, ...common }
  const policies: Array<[string, QuarantineLimits]> = [
    ['one crash, long', oneCrash],
    ['two crashes, long', { shortThreshold: 2, shortQuarantineMs: keepMs, longThreshold: 2, ...common }],
    ['three crashes, long', { shortThreshold: 3, shortQuarantineMs: keepMs, longThreshold: 3, ...common }],
    ['two crashes 5 s, three long', quarantineLimits],
    ['two crashes 15 s, three long', { ...quarantineLimits, shortQuarantineMs: 15_000 }],
    ['never refused', neverRefused]
  ]
  for (const [title, pattern] of patterns) {
    it(title, () => {
      const results = new Map(policies.map(([policy, limits]) => [limits, { policy, counts: simulatedMean(limits, pattern) }]))
      for (const { policy, counts } of results.values()) console.log(`      ${policy}: ${format(counts)}`)
      const chosen = results.get(quarantineLimits)?.counts ?? expect.fail('policy was not simulated')
      const countsOf = (limits: QuarantineLimits): CrashCounts => results.get(limits)?.counts ?? expect.fail('policy was not simulated')
      const unrelatedCrashes = pattern.crashIntervalMs === undefined ? 0 : countsOf(oneCrash).crashes - Number(pattern.fatalIntervalMs !== undefined)
      expect(chosen.crashes - unrelatedCrashes, 'engines crashed by one request').to.be.at.most(quarantineLimits.longThreshold)
      expect(chosen.lost, 'lost requests of other callers').to.be.at.most(countsOf(oneCrash).lost * 0.2)
      expect(chosen.lost).to.be.at.most(pattern.fatalIntervalMs === undefined ? countsOf(neverRefused).lost + 1 : countsOf(neverRefused).lost * 0.1)
    })
  }
})
