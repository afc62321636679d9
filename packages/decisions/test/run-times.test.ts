import { expect } from 'chai'
import { RunTimes, neededMs } from '@finchpitch/decisions'

const manyRuns = 100

const timesOf = (runs: Array<{ firstByteMs?: number, ms: number, outputTokens?: number }>): RunTimes => {
  const times = new RunTimes()
  for (const { firstByteMs = 0, ms, outputTokens = 0 } of runs) times.record({ firstByteMs, ms, outputTokens })
  return times
}

const repeated = <T>(run: T, count = manyRuns): T[] => Array.from({ length: count }, () => run)

describe('run times of a route', () => {
  it('are not known before the first run', () => {
    expect(new RunTimes().upperMs(0)).to.equal(undefined)
  })

  it('are estimated by the longest of the latest runs', () => {
    expect(timesOf([...repeated({ ms: 100 }), { ms: 900 }, { ms: 100 }]).upperMs(0)).to.be.within(900, 1100)
  })

  it('no longer count runs that were long ago', () => {
    expect(timesOf([{ ms: 9000 }, ...repeated({ ms: 100 })]).upperMs(0)).to.be.within(100, 200)
  })

  it('are estimated higher while few runs are known', () => {
    expect(timesOf([{ ms: 100 }]).upperMs(0)).to.be.at.least(200)
  })

  it('grow with the stated output, but not the time to the first byte', () => {
    const times = timesOf(repeated({ firstByteMs: 500, ms: 1500, outputTokens: 100 }))
    expect(times.upperMs(100)).to.be.within(1500, 1700)
    expect(times.upperMs(300)).to.be.within(3500, 3950)
    expect(times.upperMs(10)).to.be.within(600, 700)
  })

  // Guards against a stop that refuses everything, as a run with little output and some fixed time suggests hours for a long one.
  it('are not scaled up from runs of little output while longer ones are known', () => {
    const times = timesOf([{ firstByteMs: 100, ms: 340, outputTokens: 8 }, ...repeated({ firstByteMs: 100, ms: 340, outputTokens: 400 }, 40)])
    expect(times.upperMs(400)).to.be.within(340, 450)
    expect(times.upperMs(200)).to.be.within(340, 450)
  })

  it('are those of all runs where the output is not stated', () => {
    expect(timesOf(repeated({ firstByteMs: 500, ms: 1500, outputTokens: 100 })).upperMs(0)).to.be.within(1500, 1700)
  })

  it('count as all the time until the deadline of a request if none is known', () => {
    expect(neededMs(undefined, 3000)).to.equal(3000)
    expect(neededMs(200, 3000)).to.equal(200)
    expect(neededMs(4000, 3000)).to.equal(3000)
  })
})
