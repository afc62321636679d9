/*
 * Guards against first attempts that rank as late: on two routes of one service, with time-outs of 2.5 s and an objective of 0.2 s,
 * a third of the callers stated 175 to 333 ms less than the others, and were taken for callers that returned.
 */
import { FirstAttemptEstimator, type AttemptOrigin } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const timeoutMs = 2500
const routes = ['one', 'two']
const everyMs = 20

describe('the time since a caller\'s first attempt', () => {
  let time: FakeTime
  let estimator: FirstAttemptEstimator
  let draw: () => number

  beforeEach(() => {
    time = new FakeTime()
    estimator = new FirstAttemptEstimator()
    const random = xoroshiro128plus(1)
    draw = () => uniformFloat64(random)
  })
  afterEach(() => time.restore())

  const agoMs = (remainingMs: number, rest: Partial<AttemptOrigin> = {}): number =>
    estimator.agoMs({ route: 'one', service: 'plain', remainingMs, rejectedElsewhere: false, ...rest })
  /** The time-out of a caller: a third of them have 175 to 333 ms less. */
  const drawTimeoutMs = (): number => draw() < 1 / 3 ? timeoutMs - 175 - draw() * 158 : timeoutMs - draw() * 10

  /** Sends first attempts of the time-outs that `drawMs` gives. Returns how many were taken for returning ones. */
  const sendFirstAttempts = (count: number, drawMs: () => number, during = (): void => {}): number => {
    let returning = 0
    for (let each = 0; each < count; each++) {
      time.advanceSync(everyMs)
      during()
      if (agoMs(drawMs(), { route: routes[each % routes.length] ?? '' }) > 0) returning += 1
    }
    return returning
  }
  const reject = (spentMs = 5, returnInMs = 400): void => estimator.recordRejection('plain', { spentMs, returnInMs })

  describe('of callers with various time-outs', () => {
    it('is zero while no request is rejected', () => {
      expect(sendFirstAttempts(600, drawTimeoutMs)).to.equal(0)
      expect(sendFirstAttempts(600, () => 500 + draw() * 2000)).to.equal(0)
    })

    it('is zero for first attempts while requests are rejected', () => {
      sendFirstAttempts(400, drawTimeoutMs)
      expect(sendFirstAttempts(400, drawTimeoutMs, reject)).to.equal(0)
    })

    it('is zero if their time-outs are so many that returning callers can\'t be told from others', () => {
      sendFirstAttempts(400, () => 500 + draw() * 4500)
      expect(sendFirstAttempts(400, () => 500 + draw() * 4500, reject)).to.equal(0)
    })

    it('is that of callers that return as told, also within the same flood', () => {
      sendFirstAttempts(400, drawTimeoutMs)
      const errors: number[] = []
      sendFirstAttempts(100, drawTimeoutMs, () => {
        reject()
        // Rejected 600 ms after the first attempt, and told to return 250 ms later.
        const first = drawTimeoutMs()
        const estimated = agoMs(first - 850)
        errors.push(estimated === 0 ? Infinity : Math.abs(estimated - 850))
      })
      // None was rejected for as long as this at first, so the earliest ones can't have returned.
      const later = errors.slice(850 / everyMs)
      expect(later.every(each => each <= 333), 'recognized').to.equal(true)
    })
  })

  describe('of callers with one time-out', () => {
    const seen = (...remaining: number[]): void => { for (const each of remaining) agoMs(each) }

    it('is inferred from the time that first attempts state, after a rejection', () => {
      seen(5000, 4990, 5000, 5000, 5000, 5000, 5000, 5000)
      reject(800, 400)
      time.advanceSync(400)
      expect(agoMs(4995)).to.equal(0)
      expect(agoMs(3800)).to.equal(1200)
      expect(agoMs(3800, { route: 'other' })).to.equal(0)
    })

    it('is zero once no caller that was rejected can still return', () => {
      seen(...Array.from({ length: 20 }, () => 1000))
      reject(10, 300)
      time.advanceSync(310)
      expect(agoMs(680)).to.equal(320)
      time.advanceSync(300)
      expect(agoMs(680)).to.equal(0)
    })

    it('is zero where no rejected caller was told to return as soon or has spent as much time', () => {
      seen(...Array.from({ length: 20 }, () => 5000))
      reject(10, 1000)
      time.advanceSync(400)
      expect(agoMs(4700)).to.equal(0)
      expect(agoMs(2500)).to.equal(0)
    })

    it('is zero after a rejection by another service, and known after one that happened before a service was known', () => {
      seen(...Array.from({ length: 20 }, () => 5000))
      estimator.recordRejection('other', { spentMs: 800, returnInMs: 400 })
      time.advanceSync(400)
      expect(agoMs(3800)).to.equal(0)
      estimator.recordRejection(undefined, { spentMs: 800, returnInMs: 400 })
      time.advanceSync(400)
      expect(agoMs(3800)).to.equal(1200)
    })

    it('is inferred while other entries reject requests', () => {
      seen(...Array.from({ length: 20 }, () => 5000))
      expect(agoMs(3800, { rejectedElsewhere: true })).to.equal(1200)
    })
  })

  describe('where requests were rejected from the start', () => {
    const rejectedElsewhere = true

    it('is zero if the remaining times show no common start', () => {
      for (const each of [5000, 1000, 2000, 3000, 4000, 1500, 2500]) agoMs(each, { rejectedElsewhere })
      expect(agoMs(3500, { rejectedElsewhere })).to.equal(0)
    })

    it('is reset by a first attempt that follows later ones', () => {
      for (const each of [3800, 3700, 3800]) agoMs(each, { rejectedElsewhere })
      expect(agoMs(5000, { rejectedElsewhere })).to.equal(0)
      expect(agoMs(3800, { rejectedElsewhere })).to.equal(1200)
    })
  })
})
