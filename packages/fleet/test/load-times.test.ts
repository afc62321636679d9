import { LoadTimes, nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('the times of loads', () => {
  let time: FakeTime
  let loads: LoadTimes

  beforeEach(() => {
    time = new FakeTime()
    loads = new LoadTimes()
  })

  afterEach(() => time.restore())

  const load = async (key: string, ms: number, warm: boolean): Promise<void> => {
    loads.started(key, { at: nowMs(), version: 1, warm })
    await time.pass(ms)
    loads.held(key, 1)
  }

  it('have the engine looked at when an adapter is due, and often from then on', async () => {
    for (let each = 0; each < 30; each++) await load('m/a', 200, false)
    loads.started('m/b', { at: nowMs(), version: 1, warm: false })
    expect(loads.lookInMs(1000)).to.be.within(178, 182)
    expect(loads.lookInMs(60)).to.equal(60)
    await time.pass(190)
    expect(loads.lookInMs(60)).to.equal(12)
    loads.forget('m/b')
    expect(loads.lookInMs(60)).to.equal(60)
  })

  it('are kept apart for copies at hand, and count only the version that was asked for', async () => {
    for (let each = 0; each < 30; each++) await load('m/a', 20, true)
    loads.started('m/a', { at: nowMs(), version: 2, warm: true })
    expect(loads.lookInMs(1000)).to.be.within(17, 19)
    expect(loads.held('m/a', 1)).to.equal(undefined)
    expect(loads.held('m/a', 2)).to.include({ warm: true })
  })
})
