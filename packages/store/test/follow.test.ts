import { Revision, check, quietLog } from '@finchpitch/core'
import { Catalog, apply, follow, takeFence } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const seeded = (): number => 0.5

describe('follow', () => {
  let store: MemoryStore
  let time: FakeTime
  let catalog: Catalog
  let stop: AbortController
  let revision = 0

  const change = async (): Promise<void> => {
    const configuration = check({ teams: [{ name: `team-${revision}`, tokens: [] }] })._unsafeUnwrap()
    await time.until(apply(store, { configuration, base: Revision.parse(revision), actor: 'ana', note: '' }, seeded))
    revision += 1
  }

  beforeEach(async () => {
    time = new FakeTime()
    store = new MemoryStore()
    revision = 0
    await change()
    catalog = new Catalog('all')
    stop = new AbortController()
    void follow({ store, catalog, log: quietLog, random: seeded, signal: stop.signal })
    await time.pass(100)
  })

  afterEach(async () => {
    stop.abort()
    await time.pass(10)
    time.restore()
  })

  it('has a change at once by its watch', async () => {
    await change()
    await time.pass(10)
    expect(catalog.revision).to.equal(2)
  })

  for (const [fault, strike] of Object.entries({
    'a deaf watch': (each: MemoryStore) => { each.deafWatches = true },
    'doubled events': (each: MemoryStore) => { each.repeatEvents = true },
    'a cut watch': (each: MemoryStore) => { each.cutWatches() },
    'a slow store': (each: MemoryStore) => { each.delayMs = 400 }
  })) {
    it(`has it within 5 s with ${fault}`, async () => {
      strike(store)
      await change()
      await time.pass(5000)
      expect(catalog.revision).to.equal(2)
    })
  }

  it('keeps what it has while the store is down, and catches up after', async () => {
    store.down = true
    await time.pass(60_000)
    expect(catalog.revision).to.equal(1)
    store.down = false
    await change()
    await time.pass(5000)
    expect(catalog.revision).to.equal(2)
  })

  it('asks a quiet store little', async () => {
    const { reads, watches } = store.calls
    await time.pass(60_000)
    expect((store.calls.reads - reads + store.calls.watches - watches) / 60).to.be.at.most(1.1)
  })
})

describe('fence', () => {
  it('is higher for each that takes one, also after a lost answer', async () => {
    const time = new FakeTime()
    const store = new MemoryStore()
    try {
      const first = (await time.until(takeFence(store, 'engine-1', seeded)))._unsafeUnwrap()
      store.loseAnswers = 1
      const [second, third] = await time.until(Promise.all([1, 2].map(() => takeFence(store, 'engine-1', seeded))))
      const numbers = [first, second?._unsafeUnwrap(), third?._unsafeUnwrap()]
      expect(new Set(numbers).size).to.equal(3)
      expect(numbers[1]).to.be.above(first)
    } finally {
      time.restore()
    }
  })
})
