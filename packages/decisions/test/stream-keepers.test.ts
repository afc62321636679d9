/*
 * Guards against streams that go on at another software version because the process that kept their record has left, or another one had
 * its place for a while: that nobody has a record was taken for proof that there was none.
 */
import { KeeperHistory, rankKeepers, selectKeepers, type Keeper } from '@finchpitch/decisions'
import * as fc from 'fast-check'
import { expect } from 'chai'

const windowMs = 30_000
const domain = 'd'
const keeper = (index: number): Keeper => ({ host: `h${index}`, domain })
const keepers = (count: number): Keeper[] => Array.from({ length: count }, (_, index) => keeper(index))
const requests = Array.from({ length: 40 }, (_, index) => `r${index}`)
const keeperOf = (listed: readonly Keeper[], request: string): string | undefined => rankKeepers(selectKeepers(listed), request)[0]?.host

/** The share of requests for which a listed process says that it would have the record. */
const certainShare = (history: KeeperHistory, listed: readonly Keeper[], now: number): number =>
  requests.filter(request => listed.some(each => history.wouldKeep(each, request, now))).length / requests.length

describe('the keepers of a record', () => {
  let history: KeeperHistory

  beforeEach(() => { history = new KeeperHistory({ windowMs }) })

  for (const count of [1, 3, 8, 12, 60]) {
    it(`are certain for every request while nothing changes (${count} processes)`, () => {
      history.list(keepers(count), 0)
      expect(certainShare(history, keepers(count), windowMs)).to.equal(1)
    })
  }

  it('are certain of nothing before they have followed the list for the window', () => {
    history.list(keepers(4), 0)
    expect(certainShare(history, keepers(4), windowMs - 1)).to.equal(0)
  })

  it('are certain for most requests while one of four is replaced', () => {
    history.list(keepers(4), 0)
    history.list([...keepers(3), keeper(9)], windowMs)
    const share = certainShare(history, [...keepers(3), keeper(9)], windowMs + 1)
    expect(share).to.be.within(0.4, 0.8)
    expect(certainShare(history, [...keepers(3), keeper(9)], 2 * windowMs + 1)).to.equal(1)
  })

  it('counts a failure domain until its last process has been gone for the window', () => {
    history.list([keeper(0), { host: 'x', domain: 'e' }], 0)
    history.list([keeper(0)], 1000)
    expect([history.domains(1000 + windowMs), history.domains(1001 + windowMs)]).to.deep.equal([2, 1])
  })

  it('are certain only if they kept each record of the request, whatever processes come and go', () => {
    const change = fc.record({ host: fc.integer({ min: 0, max: 14 }), afterMs: fc.integer({ min: 0, max: 20_000 }) })
    let certain = 0
    fc.assert(fc.property(fc.array(change, { minLength: 4, maxLength: 30 }), changes => {
      history = new KeeperHistory({ windowMs })
      let now = 0
      let listed = keepers(10)
      history.list(listed, now)
      const spans: Array<{ listed: Keeper[], until: number }> = []
      for (const { host, afterMs } of changes) {
        now += afterMs
        spans.push({ listed, until: now })
        listed = listed.some(each => each.host === `h${host}`) ? listed.filter(each => each.host !== `h${host}`) : [...listed, keeper(host)]
        history.list(listed, now)
        const possible = [...spans.filter(({ until }) => until >= now - windowMs), { listed, until: Infinity }]
        for (const request of requests.slice(0, 8)) {
          for (const each of listed.filter(candidate => history.wouldKeep(candidate, request, now))) {
            certain += 1
            for (const span of possible) expect(keeperOf(span.listed, request)).to.equal(each.host)
          }
        }
      }
    }), { numRuns: 300, seed: 75 })
    expect(certain).to.be.greaterThan(1000)
  })
})
