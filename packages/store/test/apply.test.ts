import { Revision, validateConfiguration } from '@finchpitch/core'
import { Catalog, StoreSource, applyConfiguration, catchUp } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const fixedRandom = (): number => 0.5

const configuration = (...teams: string[]): ReturnType<typeof validateConfiguration> extends { _unsafeUnwrap: () => infer C } ? C : never =>
  validateConfiguration({ teams: teams.map(name => ({ name, tokens: [] })) })._unsafeUnwrap()

const request = (base: number, ...teams: string[]): Parameters<typeof applyConfiguration>[1] =>
  ({ configuration: configuration(...teams), base: Revision.parse(base), actor: 'ana', note: '' })

describe('apply', () => {
  let store: MemoryStore
  let time: FakeTime

  const applied = (base: number, ...teams: string[]): ReturnType<typeof applyConfiguration> =>
    time.runUntilSettled(applyConfiguration(store, request(base, ...teams), fixedRandom))

  beforeEach(() => {
    store = new MemoryStore()
    time = new FakeTime()
  })

  afterEach(() => time.restore())

  it('increments the revision and reports an unchanged configuration', async () => {
    const kinds = []
    for (const [base, team] of [[0, 'a'], [1, 'b'], [2, 'b']] as const) kinds.push((await applied(base, team))._unsafeUnwrap())
    expect(kinds.map(({ kind, head }) => `${kind} ${head.revision}`)).to.deep.equal(['applied 1', 'applied 2', 'unchanged 2'])
  })

  it('applies one of two concurrent changes and reports a conflict for the other', async () => {
    const both = await Promise.all([applied(0, 'a'), applied(0, 'b')])
    expect(both.map(each => each._unsafeUnwrap().kind)).to.have.members(['applied', 'conflict'])
  })

  it('rejects a change that is based on an older revision', async () => {
    await applied(0, 'a')
    await applied(1, 'b')
    expect((await applied(1, 'c'))._unsafeUnwrap().kind).to.equal('conflict')
  })

  describe('when a response is lost', () => {
    it('reads the head back to learn the outcome', async () => {
      await applied(0, 'a')
      store.responsesToLose = 2
      expect((await applied(1, 'b'))._unsafeUnwrap()).to.include({ kind: 'applied' })
      expect(store.writes.filter(({ name }) => name === 'config/head')).to.have.length(2)
    })

    it('reports the change as applied even if another one has followed', async () => {
      await applied(0, 'a')
      const put = store.put.bind(store)
      let intercepted = false
      store.put = async (name, value, version) => {
        const written = await put(name, value, version)
        if (name !== 'config/head' || intercepted) return written
        intercepted = true
        await applyConfiguration(store, request(2, 'c'), fixedRandom)
        store.responsesToLose = 1
        return await put('lost', 0, 'absent')
      }
      expect((await applied(1, 'b'))._unsafeUnwrap().kind).to.equal('applied')
    })

    it('reports an ambiguous outcome if the head can\'t be read back', async () => {
      await applied(0, 'a')
      const put = store.put.bind(store)
      store.put = async (name, value, version) => {
        if (name !== 'config/head') return await put(name, value, version)
        store.responsesToLose = 1
        const written = await put(name, value, version)
        store.down = true
        return written
      }
      const error = (await applied(1, 'b'))._unsafeUnwrapErr()
      expect(error.code).to.equal('ambiguous')
    })
  })

  describe('a catalog', () => {
    it('never moves to a lower revision', async () => {
      await applied(0, 'a')
      const catalog = new Catalog('all')
      const source = new StoreSource(store)
      await catchUp(catalog, source)
      const old = (await source.head())._unsafeUnwrap()
      await applied(1, 'b')
      await catchUp(catalog, source)
      if (old === undefined) throw new Error('there is a head')
      const texts = (await source.shards([old.common, ...old.adapters]))._unsafeUnwrap()
      expect(catalog.update(old, texts)).to.equal(false)
      expect([catalog.revision, catalog.team('b')?.name]).to.deep.equal([2, 'b'])
    })

    it('rejects a shard whose text doesn\'t match its hash', async () => {
      await applied(0, 'a')
      const head = (await new StoreSource(store).head())._unsafeUnwrap()
      if (head === undefined) throw new Error('there is a head')
      const forged = new Map([head.common, ...head.adapters].map(hash => [hash, '{}']))
      expect(new Catalog('all').update(head, forged)).to.equal(false)
    })
  })
})
