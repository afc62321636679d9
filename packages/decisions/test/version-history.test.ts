import { VersionHistory } from '@finchpitch/decisions'
import { expect } from 'chai'

const windowMs = 30_000
const maxGapMs = 10_000

describe('the software versions of a service', () => {
  let history: VersionHistory

  beforeEach(() => { history = new VersionHistory({ windowMs, maxGapMs }) })

  /** Confirms the list every second. */
  const follow = (from: number, to: number): void => { for (let at = from; at <= to; at += 1000) history.confirm(at) }

  describe('with a single version', () => {
    beforeEach(() => { history.list(new Set(['v1']), 0) })

    it('need no records once the list has been followed for a window', () => {
      follow(0, windowMs - 1000)
      expect(history.needsRecords(windowMs - 1)).to.equal(true)
      follow(windowMs, windowMs)
      expect(history.needsRecords(windowMs)).to.equal(false)
      expect(history.single(windowMs)).to.equal('v1')
      expect(history.unrecorded(windowMs)).to.equal('v1')
    })

    it('are not known after the list was not confirmed for a while, until it has been followed for another window', () => {
      follow(0, windowMs)
      const lostAt = windowMs + maxGapMs + 1
      expect(history.unrecorded(lostAt)).to.equal(undefined)
      expect(history.needsRecords(lostAt)).to.equal(true)
      follow(lostAt, lostAt + windowMs)
      expect(history.needsRecords(lostAt + windowMs - 2000)).to.equal(true)
      expect(history.needsRecords(lostAt + windowMs)).to.equal(false)
    })
  })

  describe('when a second one appears', () => {
    const appearsAt = 2 * windowMs

    beforeEach(() => {
      history.list(new Set(['v1']), 0)
      follow(0, appearsAt)
      history.list(new Set(['v1', 'v2']), appearsAt)
      follow(appearsAt, 6 * windowMs)
    })

    it('need records from then on', () => {
      expect(history.needsRecords(appearsAt)).to.equal(true)
      expect(history.single(appearsAt)).to.equal(undefined)
    })

    it('tell that a stream without a record began before, while such a stream may last', () => {
      expect(history.unrecorded(appearsAt + windowMs - 1)).to.equal('v1')
      expect(history.unrecorded(appearsAt + windowMs)).to.equal(undefined)
    })

    it('need records until the first one has been gone for a window', () => {
      const goneAt = 4 * windowMs
      history.list(new Set(['v2']), goneAt)
      expect(history.needsRecords(goneAt + windowMs)).to.equal(true)
      expect(history.unrecorded(goneAt + windowMs)).to.equal(undefined)
      expect(history.needsRecords(goneAt + windowMs + 1)).to.equal(false)
      expect(history.unrecorded(goneAt + windowMs + 1)).to.equal('v2')
    })
  })
})
