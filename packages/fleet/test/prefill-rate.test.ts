import { PrefillRate, ServerState, nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('prefill', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })

  afterEach(() => time.restore())

  describe('rate', () => {
    it('follows the samples and decays to the initial value', async () => {
      const rate = new PrefillRate()
      const initial = rate.msPerToken(nowMs())
      for (let each = 0; each < 10; each++) rate.add(1000, 10_000, nowMs())
      expect(rate.msPerToken(nowMs())).to.be.within(0.09, 0.1)
      await time.advance(60_000)
      expect(rate.msPerToken(nowMs())).to.be.closeTo(initial, initial / 100)
    })
  })

  describe('at a server', () => {
    let state: ServerState

    beforeEach(() => { state = new ServerState('s', 10) })

    afterEach(() => state.close())

    it('adds the prompts ahead to the expected time', async () => {
      const alone = state.expectedMs(1000, 1, nowMs())
      const first = state.begin({ key: 'm/x', patienceMs: 1000, tokens: 9000, priority: 1 })
      expect(state.expectedMs(1000, 1, nowMs())).to.be.closeTo(alone * 10, 0.001)
      expect(state.unread).to.equal(9000)
      await time.advance(300)
      state.recordFirstByte(first)
      expect(state.expectedMs(1000, 1, nowMs())).to.be.closeTo(alone, 1)
      state.end('m/x', first)
      expect(state.unread).to.equal(0)
    })

    it('counts the prompts of other entries, less what was prefilled since the report', async () => {
      const alone = state.expectedMs(1000, 1, nowMs())
      state.applyReport({ at: nowMs(), reachable: true, held: new Map(), coming: new Set(), waiting: 0, running: 1, unread: 9000 })
      expect(state.expectedMs(1000, 1, nowMs())).to.be.closeTo(alone * 10, 0.001)
      await time.advance(150)
      expect(state.expectedMs(1000, 1, nowMs())).to.be.within(alone * 5, alone * 6)
      await time.advance(1000)
      expect(state.expectedMs(1000, 1, nowMs())).to.be.closeTo(alone, 0.001)
    })

    it('drops the tokens of a request that ended without a response', () => {
      const pending = state.begin({ key: 'm/x', patienceMs: 1000, tokens: 9000, priority: 1 })
      state.end('m/x', pending)
      state.recordFirstByte(pending)
      expect(state.unread).to.equal(0)
    })
  })
})
