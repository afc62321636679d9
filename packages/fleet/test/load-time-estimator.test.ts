import { LoadTimeEstimator, nowMs, type LoadSource } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('load time estimates', () => {
  let time: FakeTime
  let loads: LoadTimeEstimator

  beforeEach(() => {
    time = new FakeTime()
    loads = new LoadTimeEstimator()
  })

  afterEach(() => time.restore())

  const load = async (key: string, ms: number, from: LoadSource): Promise<void> => {
    loads.startLoad(key, { at: nowMs(), version: 1, from })
    await time.advance(ms)
    loads.held(key, 1)
  }

  it('schedule a poll when a load is due, and frequent polls from then on', async () => {
    for (let each = 0; each < 30; each++) await load('m/a', 200, 'cold')
    loads.startLoad('m/b', { at: nowMs(), version: 1, from: 'cold' })
    expect(loads.nextPollInMs(1000)).to.be.within(178, 182)
    expect(loads.nextPollInMs(60)).to.equal(60)
    await time.advance(190)
    expect(loads.nextPollInMs(60)).to.equal(12)
    await time.advance(600)
    expect(loads.nextPollInMs(60)).to.equal(60)
    loads.forget('m/b')
    expect(loads.nextPollInMs(60)).to.equal(60)
  })

  it('are separate for cached copies, and only include the version that was ordered', async () => {
    for (let each = 0; each < 30; each++) await load('m/a', 20, 'warm')
    loads.startLoad('m/a', { at: nowMs(), version: 2, from: 'warm' })
    expect(loads.nextPollInMs(1000)).to.be.within(17, 19)
    expect(loads.held('m/a', 1)).to.equal(undefined)
    expect(loads.held('m/a', 2)).to.include({ from: 'warm' })
  })
})
