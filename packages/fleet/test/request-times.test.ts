import { RequestTimes, nowMs, type Route } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const route: Route = {
  name: 'r', host: 'h', pathPrefix: '/', kind: 'stream', timeoutMs: 15_000, objectiveMs: 600, patienceMs: 2400, priority: 0, maxAttempts: 1, resumable: false, targets: [{ service: 's', weight: 1 }]
}

describe('the times of a request', () => {
  let time: FakeTime
  let times: RequestTimes

  beforeEach(() => {
    time = new FakeTime()
    times = new RequestTimes()
    times.deadline = times.arrivedAt + 15_000
  })

  afterEach(() => time.restore())

  it('limit the wait to the caller\'s patience less the time to serve the request', () => {
    expect(times.waitUntil(route) - nowMs()).to.equal(2100)
    expect(times.waitUntil({ ...route, patienceMs: undefined }) - nowMs()).to.equal(6750)
    times.deadline = times.arrivedAt + 2000
    expect(times.waitUntil(route) - nowMs()).to.equal(900)
  })

  it('run from the caller\'s first attempt, with no time limit once the objective is missed', async () => {
    await time.advance(200)
    expect(times.timeToObjectiveMs(route)).to.be.closeTo(400, 5)
    times.firstTriedMs = 300
    expect(times.timeToObjectiveMs(route)).to.be.closeTo(100, 5)
    expect(times.rank(route, 20)).to.be.lessThan(6)
    await time.advance(150)
    expect(times.timeToObjectiveMs(route)).to.equal(Infinity)
    expect(times.rank(route, 20)).to.be.at.least(6)
  })
})
