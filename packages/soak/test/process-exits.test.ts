/* Guards against an excuse for signals before the first line that hides other ends of processes. */
import { exitViolations } from '@finchpitch/soak'
import type { ProcessExit } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const early: ProcessExit = { machine: 'side-d0-0', ranMs: 20, started: false, earlySignals: ['SIGHUP'], peakMb: 20, outOfMemory: false, code: null, signal: 'SIGHUP' }

describe('the end of a process in a soak', () => {
  const judge = (unexpectedExits: ProcessExit[], stops: ProcessExit[] = []): { endedEarly: number, violations: number } => {
    const { endedEarly, violations } = exitViolations({ unexpectedExits, stops }, () => {})
    return { endedEarly, violations: violations.length }
  }

  it('is excused and counted if the soak sent its signal before the first line', () => {
    expect(judge([early, early])).to.deep.equal({ endedEarly: 2, violations: 0 })
  })

  for (const [name, exit] of Object.entries<Partial<ProcessExit>>({
    'the soak sent no signal': { earlySignals: [] },
    'the soak sent another signal': { earlySignals: ['SIGUSR2'] },
    'the program had written a line': { started: true },
    'the process was killed for its memory': { signal: 'SIGKILL', outOfMemory: true },
    'the process exited': { signal: null, code: 3 }
  })) {
    it(`is a violation if ${name}`, () => {
      expect(judge([{ ...early, ...exit }])).to.deep.equal({ endedEarly: 0, violations: 1 })
    })
  }

  it('is a violation after an order to stop unless it is in order', () => {
    const stopped = { ...early, started: true, earlySignals: [], signal: null }
    expect(judge([], [{ ...stopped, code: 0 }])).to.deep.equal({ endedEarly: 0, violations: 0 })
    expect(judge([], [{ ...stopped, signal: 'SIGTERM' }])).to.deep.equal({ endedEarly: 0, violations: 1 })
  })
})
