import { crashLimits, type CrashLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import { CrashReplay, type CrashCounts, type CrashPattern } from './crash-replay.js'

/** Three seeds suffice to tell the policies apart; the figures in the comment on the default limits are means of ten. */
const seeds = 3
const never = 1e9

/** The mean of the replays over all seeds. */
const replayMean = (limits: CrashLimits, pattern: CrashPattern): CrashCounts => {
  const sum: CrashCounts = { lost: 0, refused: 0, ends: 0 }
  for (let seed = 1; seed <= seeds; seed++) {
    const { lost, refused, ends } = new CrashReplay(limits, pattern, seed).play()
    sum.lost += lost / seeds
    sum.refused += refused / seeds
    sum.ends += ends / seeds
  }
  return sum
}

const format = ({ lost, refused, ends }: CrashCounts): string => `lost ${lost.toFixed(1)} (refused ${refused.toFixed(1)}), engine crashes ${ends.toFixed(1)}`

describe('a replay of engine crashes', function () {
  this.timeout(60_000)

  const patterns: Array<[string, CrashPattern]> = [
    ['caused by one request, sent every 1.3 s', { fatalEveryMs: 1300 }],
    ['one every 3 s, of another cause', { endEveryMs: 3000 }],
    ['three at once every 10 s, of another cause', { endEveryMs: 10_000, together: 3 }],
    ['caused by one request, sent every 1.3 s, and one every 3 s of another cause', { fatalEveryMs: 1300, endEveryMs: 3000 }]
  ]
  const keepMs = 600_000
  const common = { keepMs, probeMs: 15_000, probes: 2, most: 2000 }
  const oneCrash: CrashLimits = { ends: 1, holdMs: keepMs, sureEnds: 1, ...common }
  const neverRefused: CrashLimits = { ends: never, holdMs: 0, sureEnds: never, ...common }
  const policies: Array<[string, CrashLimits]> = [
    ['one crash, long', oneCrash],
    ['two crashes, long', { ends: 2, holdMs: keepMs, sureEnds: 2, ...common }],
    ['three crashes, long', { ends: 3, holdMs: keepMs, sureEnds: 3, ...common }],
    ['two crashes 5 s, three long', crashLimits],
    ['two crashes 15 s, three long', { ...crashLimits, holdMs: 15_000 }],
    ['never refused', neverRefused]
  ]
  for (const [title, pattern] of patterns) {
    it(title, () => {
      const results = new Map(policies.map(([policy, limits]) => [limits, { policy, counts: replayMean(limits, pattern) }]))
      for (const { policy, counts } of results.values()) console.log(`      ${policy}: ${format(counts)}`)
      const chosen = results.get(crashLimits)?.counts ?? expect.fail('policy was not replayed')
      const countsOf = (limits: CrashLimits): CrashCounts => results.get(limits)?.counts ?? expect.fail('policy was not replayed')
      const unrelatedCrashes = pattern.endEveryMs === undefined ? 0 : countsOf(oneCrash).ends - Number(pattern.fatalEveryMs !== undefined)
      expect(chosen.ends - unrelatedCrashes, 'engines crashed by one request').to.be.at.most(crashLimits.sureEnds)
      expect(chosen.lost, 'lost requests of other callers').to.be.at.most(countsOf(oneCrash).lost * 0.2)
      expect(chosen.lost).to.be.at.most(pattern.fatalEveryMs === undefined ? countsOf(neverRefused).lost + 1 : countsOf(neverRefused).lost * 0.1)
    })
  }
})
