import { Revision, validateConfiguration, silentLog } from '@finchpitch/core'
import { Catalog, applyConfiguration, watchConfiguration, acquireFencingToken } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const fixedRandom = (): number => 0.5

describe('configuration watch', () => {
  let store: MemoryStore
  let time: FakeTime
  let catalog: Catalog
  let stop: AbortController
  let revision = 0

  const change = async (): Promise<void> => {
    const configuration = validateConfiguration({ teams: [{ name: `team-${revision}`, tokens: [] }] })._unsafeUnwrap()
    await time.runUntilSettled(applyConfiguration(store, { configuration, base: Revision.parse(revision), actor: 'ana', note: '' }, fixedRandom))
    revision += 1
  }

  beforeEach(async () => {
    time = new FakeTime()
    store = new MemoryStore()
    revision = 0
    await change()
    catalog = new Catalog('all')
    stop = new AbortController()
    void watchConfiguration({ store, catalog, log: silentLog, random: fixedRandom, signal: stop.signal })
    await time.advance(100)
  })

  afterEach(async () => {
    stop.abort()
    await time.advance(10)
    time.restore()
  })

  it('learns a change immediately from its watch', async () => {
    await change()
    await time.advance(10)
    expect(catalog.revision).to.equal(2)
  })

  for (const [fault, inject] of Object.entries({
    'a watch that delivers nothing': (each: MemoryStore) => { each.silentWatches = true },
    'duplicate events': (each: MemoryStore) => { each.duplicateEvents = true },
    'an interrupted watch': (each: MemoryStore) => { each.closeWatches() },
    'a slow store': (each: MemoryStore) => { each.delayMs = 400 }
  })) {
    it(`learns a change within 5 s with ${fault}`, async () => {
      inject(store)
      await change()
      await time.advance(5000)
      expect(catalog.revision).to.equal(2)
    })
  }

  it('keeps its configuration while the store is down, and catches up afterwards', async () => {
    store.down = true
    await time.advance(60_000)
    expect(catalog.revision).to.equal(1)
    store.down = false
    await change()
    await time.advance(5000)
    expect(catalog.revision).to.equal(2)
  })

  it('calls an idle store at most about once a second', async () => {
    const { reads, watches } = store.calls
    await time.advance(60_000)
    expect((store.calls.reads - reads + store.calls.watches - watches) / 60).to.be.at.most(1.1)
  })
})

describe('fencing token', () => {
  it('is unique and higher for each later caller, also after a lost response', async () => {
    const time = new FakeTime()
    const store = new MemoryStore()
    try {
      const first = (await time.runUntilSettled(acquireFencingToken(store, 'engine-1', fixedRandom)))._unsafeUnwrap()
      store.responsesToLose = 1
      const [second, third] = await time.runUntilSettled(Promise.all([1, 2].map(() => acquireFencingToken(store, 'engine-1', fixedRandom))))
      const numbers = [first, second?._unsafeUnwrap(), third?._unsafeUnwrap()]
      expect(new Set(numbers).size).to.equal(3)
      expect(numbers[1]).to.be.above(first)
    } finally {
      time.restore()
    }
  })
})
