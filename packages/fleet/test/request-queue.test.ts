import { Cancellation, RequestQueue, nowMs, type Choice, type QueuedRequest } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const full: Choice = { type: 'full', reason: 'full' }
const send: Choice = { type: 'send', id: 's', reason: 'free', expectedMs: 0 }

describe('queue of waiting requests', () => {
  let time: FakeTime
  let queue: RequestQueue
  let freeSlots: number
  let loadRequests: Array<[string, number]>
  let order: string[]

  beforeEach(() => {
    time = new FakeTime()
    queue = new RequestQueue()
    freeSlots = 0
    loadRequests = []
    order = []
  })

  afterEach(() => time.restore())

  const queuedRequest = (key: string, rank = 1, waitMs = 1000): QueuedRequest => ({
    key,
    rank: () => rank,
    expiresAt: nowMs() + waitMs,
    choose: () => freeSlots > 0 ? send : full,
    isQuarantined: () => false,
    service: 'engines',
    team: undefined,
    work: 1,
    returning: false,
    waitedAsTold: false,
    returnWindow: () => ({ earliestMs: 0, latestMs: 1000, longestMs: 1000 }),
    hasOwnChoice: false,
    lateAt: Infinity,
    mayWaitFor: () => true,
    requestLoad: (ask, waiting) => { loadRequests.push([ask, waiting]) }
  })

  const wait = (name: string, each: QueuedRequest, first: Choice = full, cancellation = new Cancellation()): void => {
    void queue.wait(each, first, cancellation).then(outcome => {
      // As in an entry, a slot is taken when the request is sent, which is after the choice.
      if (outcome.type === 'chosen') freeSlots -= 1
      order.push(`${name} ${outcome.type}`)
    })
  }

  it('serves by rank, then in order of arrival', async () => {
    wait('late', queuedRequest('a', 1))
    wait('urgent', queuedRequest('b', 0))
    wait('last', queuedRequest('c', 1))
    freeSlots = 2
    queue.scheduleScan()
    await time.advance(50)
    expect(order).to.deep.equal(['urgent chosen', 'late chosen'])
    expect(queue.size).to.equal(1)
  })

  it('scans only requests that wait for capacity when capacity becomes free', async () => {
    wait('capacity', queuedRequest('a'))
    wait('adapter', queuedRequest('b'), { type: 'bring', ask: 'e', held: false, reason: 'held nowhere' })
    wait('either', queuedRequest('c'), { type: 'bring', ask: 'e', held: true, reason: 'its holders are full' })
    freeSlots = 3
    queue.scheduleCapacityScan()
    await time.advance(50)
    expect(order).to.deep.equal(['capacity chosen', 'either chosen'])
  })

  // The timer of the wait fired first, and the request was refused though its entry had learned of a server.
  it('serves a request whose time is up if a change has not been scanned yet, as after a stall', async () => {
    wait('first', queuedRequest('a', 1, 30))
    wait('second', queuedRequest('b', 2, 30))
    await time.advance(25)
    freeSlots = 1
    queue.scheduleScan()
    await time.advance(5)
    expect(order).to.deep.equal(['first chosen', 'second expired'])
  })

  it('requests the load of an adapter with the number of requests that wait for it', async () => {
    const bring: Choice = { type: 'bring', ask: 'e', held: false, reason: 'held nowhere' }
    wait('one', queuedRequest('a'), bring)
    wait('two', queuedRequest('a'), bring)
    expect(loadRequests).to.deep.equal([['e', 1], ['e', 2]])
  })

  it('ends a wait at once when it is cancelled, and otherwise at its deadline', async () => {
    const cancellation = new Cancellation()
    wait('cancelled', queuedRequest('a'), full, cancellation)
    wait('expired', queuedRequest('a', 1, 300))
    cancellation.cancel()
    await time.advance(10)
    expect(order).to.deep.equal(['cancelled cancelled'])
    await time.advance(400)
    expect(order).to.deep.equal(['cancelled cancelled', 'expired expired'])
    expect(queue.size).to.equal(0)
  })

  it('ends the wait of a quarantined request with the next scan', async () => {
    let quarantined = false
    wait('bad', { ...queuedRequest('k'), isQuarantined: () => quarantined })
    wait('good', queuedRequest('k'))
    quarantined = true
    queue.scheduleScan()
    await time.advance(20)
    expect(order).to.deep.equal(['bad quarantined'])
  })

  describe('for rate-limited servers', () => {
    const limited: Choice = { type: 'limited', readyInMs: 100, everyMs: 200, reason: 'all servers name limits' }
    const limitedRequest = (rank: number, maxWaitMs = Infinity): QueuedRequest => ({
      ...queuedRequest(`key ${rank}`, rank),
      choose: () => freeSlots > 0 ? send : limited,
      mayWaitFor: choice => choice.type !== 'limited' || choice.readyInMs <= maxWaitMs
    })

    it('counts the requests of the same service that are ahead', () => {
      for (const rank of [1, 2, 5]) wait(`rank ${rank}`, limitedRequest(rank), limited)
      wait('elsewhere', { ...limitedRequest(1), service: 'others' }, limited)
      wait('for capacity', queuedRequest('key', 1))
      expect([0, 2, 9].map(rank => queue.limitedAhead('engines', rank))).to.deep.equal([0, 2, 3])
    })

    it('ends the wait of requests whose turn comes too late, from the end of the queue', async () => {
      for (const rank of [3, 1, 2]) wait(`rank ${rank}`, limitedRequest(rank, 300), limited)
      queue.scheduleScan()
      await time.advance(20)
      expect(order).to.deep.equal(['rank 3 expired'])
      freeSlots = 1
      queue.scheduleScan()
      await time.advance(20)
      expect(order).to.deep.equal(['rank 3 expired', 'rank 1 chosen'])
    })
  })
})
