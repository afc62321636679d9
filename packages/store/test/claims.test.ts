import { Address, Incarnation, ProcessId, RequestKey, TeamName, type Binding } from '@finchpitch/core'
import { Claims, claimId } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const id = claimId(TeamName.parse('fjordtavle'), RequestKey.parse('booking-1'))
const fixedRandom = (): number => 0.5

const binding = (nonce: string): Binding => ({
  process: ProcessId.parse('side-1'),
  address: Address.parse('127.0.0.1:1'),
  incarnation: Incarnation.parse('abcdefghijklmnop'),
  epoch: 0,
  nonce
})

describe('claims', () => {
  let store: MemoryStore
  let time: FakeTime
  const claims = (): Claims => new Claims({ store, random: fixedRandom, bucketCount: 4, keptMs: 60_000 })

  beforeEach(() => {
    store = new MemoryStore()
    time = new FakeTime()
  })

  afterEach(() => time.restore())

  it('binds a key once when several entries claim it concurrently', async () => {
    const bound = await time.runUntilSettled(Promise.all(['a', 'b', 'c', 'd'].map(nonce => claims().bind(id, binding(nonce)))))
    const nonces = bound.map(each => each._unsafeUnwrap().nonce)
    expect(new Set(nonces).size).to.equal(1)
  })

  it('batches concurrent claims into few updates', async () => {
    const one = new Claims({ store, random: fixedRandom, bucketCount: 1, keptMs: 60_000 })
    const keys = Array.from({ length: 50 }, (_, index) => claimId(TeamName.parse('quetzal'), RequestKey.parse(`k${index}`)))
    await time.runUntilSettled(Promise.all(keys.map(key => one.bind(key, binding(key)))))
    expect(store.calls.writes).to.equal(2)
  })

  it('finds its own claim after a lost response', async () => {
    store.responsesToLose = 1
    expect((await time.runUntilSettled(claims().bind(id, binding('mine'))))._unsafeUnwrap().nonce).to.equal('mine')
    expect(store.writes).to.have.length(1)
  })

  it('reads the store again rather than trust a cached snapshot', async () => {
    const one = claims()
    const first = one.bind(id, binding('a'))
    const second = one.bind(id, binding('b'))
    expect((await first)._unsafeUnwrap().nonce).to.equal('a')
    expect((await second)._unsafeUnwrap().nonce).to.equal('a')
  })

  describe('rebind', () => {
    it('replaces only the binding with the given nonce', async () => {
      await time.runUntilSettled(claims().bind(id, binding('a')))
      expect((await time.runUntilSettled(claims().rebind(id, 'a', binding('b'))))._unsafeUnwrap().nonce).to.equal('b')
      expect((await time.runUntilSettled(claims().rebind(id, 'a', binding('c'))))._unsafeUnwrap().nonce).to.equal('b')
    })

    it('lets only one of two concurrent entries replace a binding', async () => {
      await time.runUntilSettled(claims().bind(id, binding('a')))
      const both = await time.runUntilSettled(Promise.all(['b', 'c'].map(nonce => claims().rebind(id, 'a', binding(nonce)))))
      expect(new Set(both.map(each => each._unsafeUnwrap().nonce)).size).to.equal(1)
    })
  })

  it('drops a claim only after its retention time', async () => {
    const expiring = new Claims({ store, random: fixedRandom, bucketCount: 4, keptMs: 0 })
    await time.runUntilSettled(claims().bind(id, binding('a')))
    expect((await time.runUntilSettled(claims().bind(id, binding('b'))))._unsafeUnwrap().nonce).to.equal('a')
    expect((await time.runUntilSettled(expiring.bind(id, binding('b'))))._unsafeUnwrap().nonce).to.equal('b')
  })

  it('gives equal keys of two teams different claim ids', () => {
    const key = RequestKey.parse('same')
    expect(claimId(TeamName.parse('a'), key)).not.to.equal(claimId(TeamName.parse('b'), key))
  })
})
