import { newsSources } from '@finchpitch/fleet'
import { expect } from 'chai'

const near = Array.from({ length: 11 }, (_, each) => `10.1.0.${each}`)
const far = Array.from({ length: 43 }, (_, each) => `10.2.0.${each}`)

describe('from whom news of engines come', () => {
  it('is the engine\'s own side process near, and one near for each far engine', () => {
    const sources = newsSources({ near, far })
    for (const host of near) expect(sources.get(host)).to.equal(host)
    for (const host of far) expect(near).to.include(sources.get(host))
  })

  it('is the same for all entries of a domain, whatever order they learned in', () => {
    expect(newsSources({ near: [...near].reverse(), far })).to.deep.equal(newsSources({ near, far }))
  })

  it('spreads far engines over side processes near', () => {
    const counts = new Map<string, number>()
    const sources = newsSources({ near, far })
    for (const host of far) counts.set(sources.get(host) ?? '', (counts.get(sources.get(host) ?? '') ?? 0) + 1)
    expect(Math.max(...counts.values())).to.be.at.most(12)
  })

  it('changes only for the engines of a side process that is lost', () => {
    const before = newsSources({ near, far })
    const lost = near[4] ?? ''
    const after = newsSources({ near: near.filter(host => host !== lost), far })
    for (const host of far) if (before.get(host) !== lost) expect(after.get(host)).to.equal(before.get(host))
  })

  it('is each engine\'s own side process where none is near', () => {
    for (const [host, source] of newsSources({ near: [], far })) expect(source).to.equal(host)
  })
})
