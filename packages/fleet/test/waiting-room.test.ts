import { Cancellation, WaitingRoom, nowMs, type Choice, type Waiter } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const full: Choice = { type: 'full', reason: 'full' }
const send: Choice = { type: 'send', id: 's', reason: 'free', expectedMs: 0 }

describe('the waiting room', () => {
  let time: FakeTime
  let room: WaitingRoom
  let free: number
  let brought: Array<[string, number]>
  let order: string[]

  beforeEach(() => {
    time = new FakeTime()
    room = new WaitingRoom()
    free = 0
    brought = []
    order = []
  })

  afterEach(() => time.restore())

  const waiter = (key: string, rank = 1, waitMs = 1000): Waiter => ({
    key,
    rank: () => rank,
    until: nowMs() + waitMs,
    choose: () => free-- > 0 ? send : full,
    hopeless: () => false,
    service: 'engines',
    mayWaitFor: () => true,
    bring: (ask, waiting) => { brought.push([ask, waiting]) }
  })

  const wait = (name: string, each: Waiter, first: Choice = full, cancellation = new Cancellation()): void => {
    void room.wait(each, first, cancellation).then(end => order.push(`${name} ${end.type}`))
  }

  it('lets the urgent go first, then those that came first', async () => {
    wait('late', waiter('a', 1))
    wait('urgent', waiter('b', 0))
    wait('last', waiter('c', 1))
    free = 2
    room.poke()
    await time.pass(50)
    expect(order).to.deep.equal(['urgent chosen', 'late chosen'])
    expect(room.size).to.equal(1)
  })

  it('looks at those that wait for a place when one falls free, and at no others', async () => {
    wait('place', waiter('a'))
    wait('adapter', waiter('b'), { type: 'bring', ask: 'e', held: false, reason: 'held nowhere' })
    wait('either', waiter('c'), { type: 'bring', ask: 'e', held: true, reason: 'its holders are full' })
    free = 3
    room.pokeFull()
    await time.pass(50)
    expect(order).to.deep.equal(['place chosen', 'either chosen'])
  })

  it('asks an engine to bring an adapter in, with how many wait for it', async () => {
    const bring: Choice = { type: 'bring', ask: 'e', held: false, reason: 'held nowhere' }
    wait('one', waiter('a'), bring)
    wait('two', waiter('a'), bring)
    expect(brought).to.deep.equal([['e', 1], ['e', 2]])
  })

  it('ends at once with its caller, and otherwise at its time', async () => {
    const cancellation = new Cancellation()
    wait('left', waiter('a'), full, cancellation)
    wait('expired', waiter('a', 1, 300))
    cancellation.cancel()
    await time.pass(10)
    expect(order).to.deep.equal(['left left'])
    await time.pass(400)
    expect(order).to.deep.equal(['left left', 'expired expired'])
    expect(room.size).to.equal(0)
  })

  it('ends the wait of a request that is to be sent nowhere, with the next look', async () => {
    let hopeless = false
    wait('bad', { ...waiter('k'), hopeless: () => hopeless })
    wait('good', waiter('k'))
    hopeless = true
    room.poke()
    await time.pass(20)
    expect(order).to.deep.equal(['bad hopeless'])
  })

  describe('for servers that name limits', () => {
    const limited: Choice = { type: 'limited', readyInMs: 100, everyMs: 200, reason: 'all servers name limits' }
    const limitedWaiter = (rank: number, mostMs = Infinity): Waiter => ({
      ...waiter(`key ${rank}`, rank),
      choose: () => free-- > 0 ? send : limited,
      mayWaitFor: choice => choice.type !== 'limited' || choice.readyInMs <= mostMs
    })

    it('counts those that go first, of the same service', () => {
      for (const rank of [1, 2, 5]) wait(`rank ${rank}`, limitedWaiter(rank), limited)
      wait('elsewhere', { ...limitedWaiter(1), service: 'others' }, limited)
      wait('for a place', waiter('key', 1))
      expect([0, 2, 9].map(rank => room.limitedAhead('engines', rank))).to.deep.equal([0, 2, 3])
    })

    it('ends the wait of those whose turn comes too late, the last in rank first', async () => {
      for (const rank of [3, 1, 2]) wait(`rank ${rank}`, limitedWaiter(rank, 300), limited)
      room.poke()
      await time.pass(20)
      expect(order).to.deep.equal(['rank 3 expired'])
      free = 1
      room.poke()
      await time.pass(20)
      expect(order).to.deep.equal(['rank 3 expired', 'rank 1 chosen'])
    })
  })
})
