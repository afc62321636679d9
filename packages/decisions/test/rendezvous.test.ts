import { rankCandidates } from '@finchpitch/decisions'
import { expect } from 'chai'

const sides = (count: number): Array<{ process: string, domain: string }> =>
  Array.from({ length: count }, (_, index) => ({ process: `side-${index}`, domain: `zone-${index % 3}` }))

describe('rendezvous hashing', () => {
  it('gives the same list for candidates in any order', () => {
    expect(rankCandidates('a', sides(20), 4)).to.deep.equal(rankCandidates('a', sides(20).reverse(), 4))
  })

  it('spreads the list over the failure domains', () => {
    for (let key = 0; key < 50; key++) {
      const [first, second, third] = rankCandidates(`k${key}`, sides(20), 4).map(each => each.domain)
      expect(new Set([first, second, third]).size).to.equal(3)
    }
  })

  it('moves only the keys whose first candidate was removed', () => {
    const removed = 'side-7'
    const remaining = sides(20).filter(each => each.process !== removed)
    for (let key = 0; key < 200; key++) {
      const [before] = rankCandidates(`k${key}`, sides(20), 1)
      const [after] = rankCandidates(`k${key}`, remaining, 1)
      if (before?.process !== removed) expect(after).to.deep.equal(before)
    }
  })

  it('distributes the keys evenly over the candidates', () => {
    const keysByFirst = new Map<string, number>()
    for (let key = 0; key < 5000; key++) {
      const name = rankCandidates(`k${key}`, sides(10), 1)[0]?.process ?? ''
      keysByFirst.set(name, (keysByFirst.get(name) ?? 0) + 1)
    }
    for (const count of keysByFirst.values()) expect(count).to.be.within(400, 600)
  })

  it('returns a shorter list when there are too few candidates', () => {
    expect(rankCandidates('a', sides(2), 4)).to.have.length(2)
    expect(rankCandidates('a', [], 4)).to.deep.equal([])
  })
})
