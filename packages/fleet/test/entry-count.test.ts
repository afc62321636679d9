import { countEntries, countWatchers } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('entry count', () => {
  const report = (domain: string, entries: number | undefined, strangers = 0): { domain: string, entries: number | undefined, strangers: number } =>
    ({ domain, entries, strangers })

  it('is unknown until a side process has reported', () => {
    expect(countEntries([])).to.equal(undefined)
    expect(countEntries([report('a', undefined)])).to.equal(undefined)
  })

  it('sums the highest count of each domain', () => {
    expect(countEntries([report('a', 12), report('a', 13), report('b', 14)])).to.equal(27)
  })

  it('counts a domain without a report as large as the largest one', () => {
    expect(countEntries([report('a', 13), report('b', undefined), report('c', undefined)])).to.equal(39)
  })

  it('counts a domain that reports no entries as empty', () => {
    expect(countEntries([report('a', 13), report('b', 0)])).to.equal(13)
  })

  it('includes entries without local side processes, which every side process reports, only once', () => {
    expect(countEntries([report('a', 3, 2), report('b', 4, 2)])).to.equal(9)
  })

  it('counts entries of a domain without a report once, also if they are known as strangers', () => {
    expect(countEntries([report('a', 2, 2), report('b', undefined)])).to.equal(4)
    expect(countEntries([report('a', 2, 1), report('b', undefined)])).to.equal(4)
    expect(countEntries([report('a', 2, 5), report('b', undefined)])).to.equal(7)
  })

  it('counts three watchers per domain, and every entry of a smaller domain', () => {
    expect(countWatchers([report('a', 13), report('b', 2)])).to.equal(5)
  })
})
