import { CapacityEstimate, ResponsePace, divideMaxMin, quickServers, quickerOfTwo } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('max-min fair division', () => {
  it('meets small claims whole and divides the rest equally', () => {
    expect([...divideMaxMin(10, new Map([['a', 100], ['b', 2], ['c', 50]]))]).to.have.deep.members([['b', 2], ['c', 4], ['a', 4]])
    expect([...divideMaxMin(10, new Map([['a', 3], ['b', 2]]))]).to.have.deep.members([['b', 2], ['a', 3]])
    expect([...divideMaxMin(-1, new Map([['a', 3]]))]).to.deep.equal([['a', 0]])
  })
})

describe('capacity estimate', () => {
  let estimate: CapacityEstimate
  let now: number

  beforeEach(() => {
    estimate = new CapacityEstimate()
    now = 0
  })

  /** Records responses at a rate that one of many entries sees. */
  const respond = (ms: number, count: number, limiting = true): void => {
    for (let each = 0; each < count; each++) estimate.recordResponse(ms, now += 60, limiting)
  }

  it('has a value after a few responses, and follows a quicker service at once', () => {
    respond(40, 3)
    expect(estimate.perSecond(24)).to.equal(undefined)
    respond(40, 1)
    expect(estimate.perSecond(24)).to.equal(600)
    respond(40, 40)
    respond(20, 48, false)
    expect(estimate.serviceMs).to.equal(20)
  })

  it('follows a service that has become slower for good', () => {
    respond(40, 100, false)
    respond(60, 300, false)
    expect(estimate.serviceMs).to.equal(60)
  })

  it('takes no single slow response as a sign of a busy service, and five of a real delay', () => {
    respond(40, 60)
    respond(400, 1)
    expect([estimate.isDelayCertain, estimate.factor > 0.9]).to.deep.equal([false, true])
    respond(80, 5)
    expect(estimate.isDelayCertain).to.equal(true)
  })

  it('falls while requests are delayed, by refusals more quickly, and rises while they are not', () => {
    respond(40, 60)
    respond(100, 20)
    expect(estimate.factor).to.be.below(0.7)
    respond(40, 100)
    expect(estimate.factor).to.be.above(1)
    for (let each = 0; each < 20; each++) estimate.recordRefusal(now += 100, true)
    expect(estimate.factor).to.equal(0.5)
  })
})

describe('choice by response time', () => {
  const servers = [{ id: 'slow', responseMs: 100, load: 0 }, { id: 'quick', responseMs: 40, load: 0 }, { id: 'new', load: 0 }]

  it('avoids a server that slowed down, until it has not been heard of for a second', () => {
    const pace = new ResponsePace()
    for (let now = 0; now < 2000; now += 100) pace.record(40, now)
    pace.record(120, 2000)
    pace.record(120, 2100)
    expect(pace.at(2100)).to.be.above(80)
    expect(pace.at(3100)).to.be.below(55)
    pace.recordRefusal(3100)
    expect(pace.at(3100)).to.equal(250)
    expect(quickServers(servers).map(({ id }) => id)).to.deep.equal(['quick', 'new'])
  })

  it('draws two servers and takes the one with the shorter delay', () => {
    const drawn = (first: number, second: number, extraMs = 0): string | undefined => {
      const draws = [first, second]
      return quickerOfTwo(servers, ({ id }) => id === 'quick' ? extraMs : 0, () => draws.shift() ?? 0)?.id
    }
    expect(drawn(0, 0)).to.equal('quick')
    expect(drawn(0, 0, 70)).to.equal('slow')
    expect(drawn(0, 0.9)).to.equal('new')
    expect(quickerOfTwo(servers.slice(0, 1), () => 0, Math.random)?.id).to.equal('slow')
    expect(quickerOfTwo([], () => 0, Math.random)).to.equal(undefined)
  })
})
