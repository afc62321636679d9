import { PrefixCacheMirror, type CacheEvent } from '@finchpitch/backend'
import { expect } from 'chai'

const stored = (sequence: number, block: string, salt = 'quetzal', boot = 'one'): CacheEvent =>
  ({ type: 'stored', boot, sequence, salt, blocks: [block] })

describe('prefix cache', () => {
  let cache: PrefixCacheMirror

  beforeEach(() => {
    cache = new PrefixCacheMirror(3)
    cache.apply(stored(0, 'a'))
  })

  it('finds a block only with the salt of its team', () => {
    expect([cache.holds('quetzal', 'a'), cache.holds('fjordtavle', 'a')]).to.deep.equal([true, false])
  })

  it('applies a removal and ignores a repeated event', () => {
    cache.apply({ type: 'removed', boot: 'one', sequence: 1, salt: 'quetzal', blocks: ['a'] })
    cache.apply(stored(0, 'a'))
    expect([cache.size, cache.gapCount]).to.deep.equal([0, 0])
  })

  it('drops all blocks from before a gap', () => {
    cache.apply(stored(2, 'c'))
    expect([cache.holds('quetzal', 'a'), cache.holds('quetzal', 'c'), cache.gapCount]).to.deep.equal([false, true, 1])
  })

  it('is cleared when the engine restarts', () => {
    cache.apply(stored(7, 'b', 'quetzal', 'two'))
    expect([cache.holds('quetzal', 'a'), cache.size, cache.gapCount]).to.deep.equal([false, 1, 0])
  })

  it('limits the number of blocks', () => {
    for (let sequence = 1; sequence < 10; sequence++) cache.apply(stored(sequence, `b${sequence}`))
    expect(cache.size).to.be.at.most(3)
  })
})
