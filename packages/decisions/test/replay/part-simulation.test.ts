import { CrashHistory, quarantineLimits, type QuarantineLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import { PartSimulation, companion, separateHistories, type PartCounts, type PartPattern, type PartPolicy } from './part-simulation.js'

/** Three seeds tell the policies apart; the figures in the incident report are means of five. */
const seeds = 3
/** Requests with the part that may be sent once the fifth crash is known. */
const maxLateRuns = 3
/** Of the sound requests, at least this share has to be served once the crashes are known. */
const minServedShare = 0.5

const run: PartPolicy['verdict'] = () => ({ type: 'run' })
const nothing: PartPolicy = { verdict: run, mayProbe: () => true, recordCrash: () => {}, recordProbe: () => true, sound: () => {} }
const histories = (limits: QuarantineLimits) => (): PartPolicy => new CrashHistory(limits)
const threshold = (partThreshold: number): QuarantineLimits => ({ ...quarantineLimits, partThreshold })

interface Policy { title: string, policy: () => PartPolicy, byTeam?: boolean }

const chosen: Policy = { title: 'three crashes that no stronger suspect explains', policy: histories(quarantineLimits) }
const separate: Policy = { title: 'each part by itself', policy: () => separateHistories(quarantineLimits) }
const byTeam: Policy = { title: 'by part and team', policy: histories(quarantineLimits), byTeam: true }
const two: Policy = { title: 'two crashes', policy: histories(threshold(2)) }
const four: Policy = { title: 'four crashes', policy: histories(threshold(4)) }
const never: Policy = { title: 'never refused', policy: () => nothing }

interface Comparison { title: string, pattern: PartPattern, others?: readonly Policy[] }

const mean = (all: readonly PartCounts[], key: keyof PartCounts): number => all.reduce((total, counts) => total + counts[key], 0) / all.length
const worst = (all: readonly PartCounts[], key: keyof PartCounts): number => Math.max(...all.map(counts => counts[key]))

const format = (all: readonly PartCounts[]): string => {
  const of = (key: keyof PartCounts): string => mean(all, key).toFixed(1)
  return `runs with a bad part ${of('badRuns')}, late ${of('lateBadRuns')}; sound requests refused ${of('refused')}, late ${of('lateRefused')}, with the companion ${of('companionsRefused')} of ${of('companions')}; lost in crashes ${of('lost')}`
}

describe('a simulation of engines that crash under parts of prompts', function () {
  this.timeout(60_000)

  const bad = [['bad']]
  const beside = [[companion, 'bad']]
  const comparisons: Comparison[] = [
    { title: 'six requests with the part a second', pattern: { bad }, others: [two, four, never] },
    { title: 'one in two seconds', pattern: { bad, badIntervalMs: 2000 }, others: [never] },
    { title: 'fifty a second', pattern: { bad, badIntervalMs: 20 }, others: [two, four] },
    { title: 'always beside another part', pattern: { bad: beside } },
    { title: 'always beside a part that one sound request in 200 has', pattern: { bad: beside, companionShare: 0.005 }, others: [separate] },
    { title: 'the same, beside a crash of another cause every 1.5 s', pattern: { bad: beside, companionShare: 0.005, crashIntervalMs: 1500 }, others: [separate, two] },
    { title: 'two bad parts, in turn', pattern: { bad: [['bad1'], ['bad2']] } },
    { title: 'two bad parts, always together or the second alone', pattern: { bad: [['bad1', 'bad2'], ['bad2']] } },
    { title: 'from eight teams', pattern: { bad, teams: 8 }, others: [byTeam] },
    { title: 'beside a crash of another cause every 1.5 s', pattern: { bad, crashIntervalMs: 1500 }, others: [two] },
    { title: 'beside four crashes at once every 5 s', pattern: { bad, crashIntervalMs: 5000, simultaneousCrashes: 4 }, others: [two] },
    { title: 'no bad part, a crash every 0.6 s', pattern: { crashIntervalMs: 600 }, others: [two, four, never] },
    { title: 'no bad part, four crashes at once every 5 s', pattern: { crashIntervalMs: 5000, simultaneousCrashes: 4 }, others: [two, never] }
  ]

  for (const { title, pattern, others = [] } of comparisons) {
    it(title, () => {
      const simulate = ({ policy, byTeam }: Policy): PartCounts[] => Array.from({ length: seeds }, (_, seed) => new PartSimulation(policy, pattern, seed + 1, byTeam).run())
      const results = simulate(chosen)
      console.log(`      ${chosen.title}: ${format(results)}`)
      for (const other of others) console.log(`      ${other.title}: ${format(simulate(other))}`)
      expect(worst(results, 'lateBadRuns'), 'late runs with a bad part').to.be.at.most(maxLateRuns * (pattern.bad?.length ?? 1))
      for (const { sound, refused, companions, companionsRefused } of results) {
        expect(refused, 'refused sound requests').to.be.below(sound * (1 - minServedShare))
        expect(companionsRefused, 'refused sound requests with the companion').to.be.at.most(companions * (1 - minServedShare))
      }
    })
  }
})
