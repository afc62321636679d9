import { PrefixCache, type CacheEvent } from '@finchpitch/backend'
import { expect } from 'chai'

const stored = (sequence: number, block: string, salt = 'quetzal', boot = 'one'): CacheEvent =>
  ({ type: 'stored', boot, sequence, salt, blocks: [block] })

describe('prefix cache', () => {
  let cache: PrefixCache

  beforeEach(() => {
    cache = new PrefixCache(3)
    cache.take(stored(0, 'a'))
  })

  it('finds a block only with the salt of its team', () => {
    expect([cache.holds('quetzal', 'a'), cache.holds('fjordtavle', 'a')]).to.deep.equal([true, false])
  })

  it('applies a removal and ignores a repeated event', () => {
    cache.take({ type: 'removed', boot: 'one', sequence: 1, salt: 'quetzal', blocks: ['a'] })
    cache.take(stored(0, 'a'))
    expect([cache.size, cache.gaps]).to.deep.equal([0, 0])
  })

  it('drops all blocks from before a gap', () => {
    cache.take(stored(2, 'c'))
    expect([cache.holds('quetzal', 'a'), cache.holds('quetzal', 'c'), cache.gaps]).to.deep.equal([false, true, 1])
  })

  it('is cleared when the engine restarts', () => {
    cache.take(stored(7, 'b', 'quetzal', 'two'))
    expect([cache.holds('quetzal', 'a'), cache.size, cache.gaps]).to.deep.equal([false, 1, 0])
  })

  it('limits the number of blocks', () => {
    for (let sequence = 1; sequence < 10; sequence++) cache.take(stored(sequence, `b${sequence}`))
    expect(cache.size).to.be.at.most(3)
  })
})
