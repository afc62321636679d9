import { causeOf, summarizeLosses, parseRequestEnded, type RequestEndedLine } from '@finchpitch/bench'
import { expect } from 'chai'

const line = (overrides: Partial<RequestEndedLine>): RequestEndedLine => ({
  event: 'request.ended', at: '2026-05-20T10:00:01.000Z', route: 'r', objectiveMs: 600, reason: '', outcome: 'streamed', firstTriedMs: 0, waitedMs: 0, sentAtMs: 1, firstByteMs: 100, ...overrides
})

describe('losses', () => {
  describe('the cause of a request', () => {
    it('is "in time" within the objective, which counts from the first attempt', () => {
      expect(causeOf(line({}))).to.equal('in time')
      expect(causeOf(line({ firstTriedMs: 2000 }))).to.equal('late: came back')
    })

    it('is the stage that took more than half of the objective', () => {
      expect(causeOf(line({ waitedMs: 500, sentAtMs: 500, firstByteMs: 700 }))).to.equal('late: waited for an adapter or a place')
      expect(causeOf(line({ firstByteMs: 900 }))).to.equal('late: at the server')
      expect(causeOf(line({ waitedMs: 280, sentAtMs: 330, firstByteMs: 620 }))).to.equal('late: several')
    })

    it('is the outcome and its reason where the request was not served', () => {
      expect(causeOf(line({ outcome: 'refused', reason: 'held nowhere' }))).to.equal('refused: held nowhere')
      expect(causeOf(line({ outcome: 'answered 500' }))).to.equal('answered 500 by the server')
      expect(causeOf(line({ outcome: 'caller_left', sentAtMs: undefined }))).to.equal('left while waiting')
      expect(causeOf(line({ outcome: 'no_route' }))).to.equal('no_route')
    })
  })

  describe('a log file', () => {
    it('is parsed with prefixes before its events, and other lines are skipped', () => {
      expect(parseRequestEnded(` 12.5 front-1 ${JSON.stringify(line({}))}`)).to.deep.equal(line({}))
      for (const other of ['', 'text', '{"event":"request.ended"', '{"event":"request.ended"}', '{"event":"side.lost"}']) expect(parseRequestEnded(other)).to.equal(undefined)
    })

    it('is counted by route and by interval', () => {
      const { byRoute, byInterval } = summarizeLosses([line({ outcome: 'refused', reason: 'full' }), line({}), line({}), line({ route: 's', at: '2026-05-20T10:00:07.000Z' })])
      expect(byRoute).to.deep.equal([
        { route: 'r', cause: 'in time', requests: 2 }, { route: 'r', cause: 'refused: full', requests: 1 }, { route: 's', cause: 'in time', requests: 1 }
      ])
      expect(byInterval).to.deep.equal([
        { moment: '2026-05-20T10:00:00.000Z', 'in time': 2, late: 0, 'not served': 1 }, { moment: '2026-05-20T10:00:05.000Z', 'in time': 1, late: 0, 'not served': 0 }
      ])
    })
  })
})
