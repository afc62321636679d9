import { crashLimits, type CrashLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import { CrashReplay, type CrashCounts, type CrashPattern } from './crash-replay.js'

/** Enough to tell the rules apart; ten were played for the choice. */
const seeds = 3
const never = 1e9

/** The mean over the seeds. */
const play = (limits: CrashLimits, pattern: CrashPattern): CrashCounts => {
  const sum: CrashCounts = { lost: 0, refused: 0, ends: 0 }
  for (let seed = 1; seed <= seeds; seed++) {
    const { lost, refused, ends: ended } = new CrashReplay(limits, pattern, seed).play()
    sum.lost += lost / seeds
    sum.refused += refused / seeds
    sum.ends += ended / seeds
  }
  return sum
}

const shown = ({ lost, refused, ends }: CrashCounts): string => `lost ${lost.toFixed(1)} (refused ${refused.toFixed(1)}), engines ended ${ends.toFixed(1)}`

describe('a replay of engines that end', function () {
  this.timeout(60_000)

  const patterns: Array<[string, CrashPattern]> = [
    ['one request ends them, sent each 1.3 s', { fatalEveryMs: 1300 }],
    ['one by one each 3 s, of another cause', { endEveryMs: 3000 }],
    ['three together each 10 s, of another cause', { endEveryMs: 10_000, together: 3 }],
    ['both', { fatalEveryMs: 1300, endEveryMs: 3000 }]
  ]
  const keepMs = 600_000
  const rest = { keepMs, probeMs: 15_000, probes: 2, most: 2000 }
  const oneEnd: CrashLimits = { ends: 1, holdMs: keepMs, sureEnds: 1, ...rest }
  const neverRefused: CrashLimits = { ends: never, holdMs: 0, sureEnds: never, ...rest }
  const rules: Array<[string, CrashLimits]> = [
    ['one end, for long', oneEnd],
    ['two ends, for long', { ends: 2, holdMs: keepMs, sureEnds: 2, ...rest }],
    ['three ends, for long', { ends: 3, holdMs: keepMs, sureEnds: 3, ...rest }],
    ['two for 5 s, three for long', crashLimits],
    ['two for 15 s, three for long', { ...crashLimits, holdMs: 15_000 }],
    ['never refused', neverRefused]
  ]
  for (const [what, pattern] of patterns) {
    it(what, () => {
      const results = new Map(rules.map(([rule, limits]) => [limits, { rule, counts: play(limits, pattern) }]))
      for (const { rule, counts } of results.values()) console.log(`      ${rule}: ${shown(counts)}`)
      const chosen = results.get(crashLimits)?.counts ?? expect.fail('not played')
      const counted = (limits: CrashLimits): CrashCounts => results.get(limits)?.counts ?? expect.fail('not played')
      const otherEnds = pattern.endEveryMs === undefined ? 0 : counted(oneEnd).ends - Number(pattern.fatalEveryMs !== undefined)
      expect(chosen.ends - otherEnds, 'engines that one request ended').to.be.at.most(crashLimits.sureEnds)
      expect(chosen.lost, 'requests of others that were lost').to.be.at.most(counted(oneEnd).lost * 0.2)
      expect(chosen.lost).to.be.at.most(pattern.fatalEveryMs === undefined ? counted(neverRefused).lost + 1 : counted(neverRefused).lost * 0.1)
    })
  }
})
