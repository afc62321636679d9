import { countEntries, countWatchers } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('how many entries there are', () => {
  const told = (domain: string, entries: number | undefined, strangers = 0): { domain: string, entries: number | undefined, strangers: number } =>
    ({ domain, entries, strangers })

  it('is unknown while nobody has told', () => {
    expect(countEntries([])).to.equal(undefined)
    expect(countEntries([told('a', undefined)])).to.equal(undefined)
  })

  it('is the most that any side process of a domain hears, over all domains', () => {
    expect(countEntries([told('a', 12), told('a', 13), told('b', 14)])).to.equal(27)
  })

  it('takes a domain that has not told for as large as the largest', () => {
    expect(countEntries([told('a', 13), told('b', undefined), told('c', undefined)])).to.equal(39)
  })

  it('has a domain that has told of none count as none', () => {
    expect(countEntries([told('a', 13), told('b', 0)])).to.equal(13)
  })

  it('includes entries without side processes near, which all tell of, once', () => {
    expect(countEntries([told('a', 3, 2), told('b', 4, 2)])).to.equal(9)
  })

  it('has three of each domain watch the store, and all of a smaller one', () => {
    expect(countWatchers([told('a', 13), told('b', 2)])).to.equal(5)
  })
})
