import { LoadConcurrency } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('the limit on concurrent loads of an engine', () => {
  let loads: LoadConcurrency
  let now: number

  beforeEach(() => {
    loads = new LoadConcurrency({ least: 2, most: 4 })
    now = 0
  })

  const complete = (ms: number, startedAt = now): void => {
    now = startedAt + ms
    loads.record({ startedAt, ms }, now)
  }

  it('falls while loads are slowed down, one step for those in progress, and rises when they are quick again', () => {
    complete(288)
    const startedAt = now
    for (const ms of [430, 430, 440]) complete(ms, startedAt)
    expect(loads.limit).to.equal(3)
    for (let each = 0; each < 5; each++) complete(430)
    expect(loads.limit).to.equal(2)
    complete(300)
    expect(loads.limit).to.equal(2)
    for (let each = 0; each < 6; each++) complete(300)
    expect(loads.limit).to.equal(4)
  })

  // Guards against an engine that loads few adapters at a time for good after its weight store has become slower.
  it('is not lowered for good by loads that were quick long ago', () => {
    complete(100)
    for (let each = 0; each < 400; each++) complete(300)
    expect(loads.limit).to.equal(4)
  })

  describe('while all engines of a service load adapters', () => {
    const engines = 38
    const backlog = 20

    /** Loads that share a capacity of 104 at 288 ms each. An urgent load goes first from 1 s on at each engine. */
    const run = (least: number): { urgentMs: number, lastAt: number } => {
      const limits = Array.from({ length: engines }, () => new LoadConcurrency({ least, most: 4 }))
      const states = limits.map(limit => {
        // An earlier load shows how long one takes alone.
        limit.record({ startedAt: -288, ms: 288 }, 0)
        return { limit, queued: backlog, urgent: 1, loads: new Array<{ startedAt: number, left: number, urgent: boolean }>(), urgentMs: 0 }
      })
      let lastAt = 0
      for (let at = 0; states.some(({ queued, loads }) => queued + loads.length > 0); at += 2) {
        for (const state of states) {
          while (state.queued > 0 && state.loads.length < state.limit.limit) {
            const urgent = at >= 1000 && state.urgent > 0
            if (urgent) state.urgent -= 1
            else state.queued -= 1
            state.loads.push({ startedAt: at, left: 288, urgent })
          }
        }
        const inProgress = states.reduce((sum, { loads }) => sum + loads.length, 0)
        for (const state of states) {
          for (const load of state.loads) load.left -= 2 * Math.min(1, 104 / inProgress)
          for (const { startedAt, urgent } of state.loads.filter(({ left }) => left <= 0)) {
            if (urgent) state.urgentMs = at - 1000
            state.limit.record({ startedAt, ms: at - startedAt }, at)
          }
          state.loads = state.loads.filter(({ left }) => left > 0)
        }
        lastAt = at
      }
      return { urgentMs: states.reduce((sum, { urgentMs }) => sum + urgentMs, 0) / engines, lastAt }
    }

    it('completes urgent loads sooner, and nearly as many per second', () => {
      const [limited, unlimited] = [run(2), run(4)]
      expect(limited.urgentMs).to.be.lessThan(unlimited.urgentMs * 0.9)
      expect(limited.lastAt).to.be.lessThan(unlimited.lastAt * 1.1)
    })
  })
})
