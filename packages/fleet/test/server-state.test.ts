import { ServerState, nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('server state', () => {
  let time: FakeTime
  let state: ServerState

  beforeEach(() => {
    time = new FakeTime()
    state = new ServerState('s', 10)
  })

  afterEach(() => {
    state.close()
    time.restore()
  })

  it('reports the load of the last report, and at least the own requests', () => {
    const pending = state.begin({ key: undefined, patienceMs: 1000, tokens: 0, priority: 1 })
    expect(state.load).to.equal(1)
    state.applyReport({ at: nowMs(), reachable: true, held: new Map(), coming: new Set(), waiting: 1, running: 4, unread: 0 })
    expect(state.load).to.equal(5)
    state.end(undefined, pending)
    expect(state.load).to.equal(5)
  })

  it('observes the pace of completed requests once', async () => {
    const pending = state.begin({ key: 'm/a', patienceMs: 1000, tokens: 600, priority: 1 })
    await time.advance(20)
    state.recordFirstByte(pending)
    await time.advance(300)
    state.recordRun(pending, 72)
    expect(state.takePace()).to.deep.equal([600, 20, 72, 300])
    expect(state.takePace()).to.equal(undefined)
  })

  it('counts refusals as load for a limited time', async () => {
    for (let each = 0; each < 10; each++) {
      const pending = state.begin({ key: undefined, patienceMs: 1000, tokens: 0, priority: 1 })
      state.recordRefusal()
      state.end(undefined, pending)
    }
    expect(state.load).to.equal(20)
    await time.advance(400)
    expect(state.load).to.equal(0)
  })
})
