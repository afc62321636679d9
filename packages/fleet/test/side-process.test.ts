import { silentLog } from '@finchpitch/core'
import { Facts, SideCounters, SideProcess, type EngineControl } from '@finchpitch/fleet'
import { FakeTime, channelOptions } from '@finchpitch/stand-ins'
import { err } from 'neverthrow'
import { expect } from 'chai'

describe('a side process', () => {
  let time: FakeTime

  const sideProcess = (engine: EngineControl): SideProcess => new SideProcess({
    process: 'side-0',
    domain: 'a',
    engineAddress: '10.0.0.1:1',
    sidePort: 7380,
    dial: async () => { throw new Error('nothing listens') },
    engine,
    facts: new Facts(silentLog, () => 0),
    limits: () => { throw new Error('not needed without a routing table') },
    channel: channelOptions('side-0'),
    counters: new SideCounters(),
    log: silentLog
  })

  beforeEach(() => { time = new FakeTime() })

  afterEach(() => time.restore())

  // Guards against a stop that waits for the next poll of the engine because the signal aborted during the last one.
  it('that is stopped while it polls its engine ends without waiting for the next poll', async () => {
    const stop = new AbortController()
    const engine: EngineControl = {
      status: async () => {
        stop.abort()
        return err('no answer')
      },
      order: async () => ({ outcome: 'unknown', detail: '' })
    }
    const side = sideProcess(engine)
    let ended = false
    void side.run(stop.signal).then(() => { ended = true })
    await time.settle()
    expect(ended).to.equal(true)
  })

  // Guards against a process that goes on without controlling its engine: an exception ended the task, and nothing started it again.
  it('polls its engine again after an exception', async () => {
    const stop = new AbortController()
    let polls = 0
    const engine: EngineControl = {
      status: async () => {
        polls += 1
        if (polls === 1) throw new Error('unforeseen')
        return err('no answer')
      },
      order: async () => ({ outcome: 'unknown', detail: '' })
    }
    const running = sideProcess(engine).run(stop.signal)
    await time.advance(1000)
    expect(polls).to.be.greaterThan(1)
    stop.abort()
    await running
  })
})
