import { Fingerprint } from '@finchpitch/core'
import { CrashHistory, type Crash, type QuarantineLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import fc from 'fast-check'

const limits: QuarantineLimits = { shortThreshold: 2, shortQuarantineMs: 500, longThreshold: 3, keepMs: 1000, probeMs: 200, probes: 2, most: 4 }
const fingerprint = (name: string): Fingerprint => Fingerprint.parse(name.padEnd(16, '_'))
const bad = fingerprint('bad')
const crash = (server: string, sentAt: number, endedAt: number, of = bad): Crash => ({ fingerprint: of, server, sentAt, endedAt })

describe('crash records of requests', () => {
  let history: CrashHistory

  beforeEach(() => { history = new CrashHistory(limits) })

  describe('a quarantine', () => {
    it('starts at the second consecutive crash and names the servers', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      expect(history.quarantine(bad, 10)).to.equal(undefined)
      history.recordCrash(crash('b', 20, 30), 30)
      expect(history.quarantine(bad, 30)).to.deep.equal({ servers: ['a', 'b'], leftMs: 500 })
    })

    it('does not start when several servers crash at the same time', () => {
      history.recordCrash(crash('a', 0, 10), 11)
      history.recordCrash(crash('b', 5, 10), 11)
      history.recordCrash(crash('c', 9, 11), 11)
      expect(history.quarantine(bad, 11)).to.equal(undefined)
    })

    it('does not start when the same server is reported twice', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      expect(history.recordCrash(crash('a', 20, 30), 30)).to.equal(false)
      expect(history.quarantine(bad, 30)).to.equal(undefined)
    })

    it('does not affect other requests', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 20, 30), 30)
      expect(history.quarantine(fingerprint('other'), 30)).to.equal(undefined)
    })

    it('expires after a short time, as an unrelated fault may have crashed two servers in a row', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 20, 30), 30)
      expect(history.quarantine(bad, 529)).to.not.equal(undefined)
      expect(history.quarantine(bad, 530)).to.equal(undefined)
    })

    it('lasts until the crashes expire once there is a third one', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 20, 30), 30)
      history.recordCrash(crash('c', 540, 550), 550)
      expect(history.quarantine(bad, 550)).to.deep.equal({ servers: ['a', 'b', 'c'], leftMs: 500 })
      history.recordCrash(crash('d', 560, 570), 570)
      expect(history.quarantine(bad, 1069)).to.not.equal(undefined)
      expect(history.quarantine(bad, 1070)).to.equal(undefined)
    })
  })

  describe('a completed run', () => {
    it('discards the crashes before it, including those reported later', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      expect(history.sound({ fingerprint: bad, endedAt: 40 })).to.equal(true)
      expect(history.recordCrash(crash('b', 20, 30), 50)).to.equal(false)
      expect(history.quarantine(bad, 50)).to.equal(undefined)
    })

    it('releases a quarantined request', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 20, 30), 30)
      history.sound({ fingerprint: bad, endedAt: 31 })
      expect(history.quarantine(bad, 31)).to.equal(undefined)
    })

    it('does not discard later crashes', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.sound({ fingerprint: bad, endedAt: 15 })
      history.recordCrash(crash('b', 20, 30), 30)
      history.recordCrash(crash('c', 40, 50), 50)
      expect(history.quarantine(bad, 50)?.servers).to.deep.equal(['b', 'c'])
    })

    it('is ignored for a request without a record', () => {
      expect(history.sound({ fingerprint: bad, endedAt: 1 })).to.equal(false)
      expect(history.size).to.equal(0)
    })
  })

  describe('the table', () => {
    it('is bounded, and evicts quarantined requests last', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 20, 30), 30)
      for (let each = 0; each < 20; each++) history.recordCrash(crash('c', 40, 50, fingerprint(`p${each}`)), 50)
      expect(history.size).to.be.at.most(limits.most)
      expect(history.quarantine(bad, 50)).to.not.equal(undefined)
    })

    it('drops expired records when nothing else is recorded', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.sound({ fingerprint: bad, endedAt: 40 })
      history.expire(1100)
      expect(history.size).to.equal(0)
    })

    it('drops a request when its last crash expires', () => {
      history.recordCrash(crash('a', 0, 10), 10)
      history.recordCrash(crash('b', 2000, 2010, fingerprint('other')), 2010)
      expect(history.size).to.equal(1)
      expect(history.recordCrash(crash('a', 0, 10), 2010)).to.equal(false)
    })
  })

  it('gives the same result for reports in any order and with duplicates', () => {
    const report = fc.record({ server: fc.constantFrom('a', 'b', 'c', 'd'), sentAt: fc.integer({ min: 0, max: 400 }), ranMs: fc.integer({ min: 1, max: 100 }) })
    fc.assert(fc.property(fc.uniqueArray(report, { selector: each => each.server, maxLength: 4 }), fc.option(fc.integer({ min: 0, max: 500 })), fc.infiniteStream(fc.nat()), (reports, completedAt, draws) => {
      const crashes = reports.map(({ server, sentAt, ranMs }) => crash(server, sentAt, sentAt + ranMs))
      const apply = (target: CrashHistory, order: readonly Crash[]): unknown => {
        order.forEach((each, index) => {
          target.recordCrash(each, 600)
          if (index === 0 && completedAt !== null) target.sound({ fingerprint: bad, endedAt: completedAt })
        })
        if (completedAt !== null) target.sound({ fingerprint: bad, endedAt: completedAt })
        return target.quarantine(bad, 600)
      }
      const shuffled = [...crashes, ...crashes].map(each => ({ each, draw: draws.next().value as number })).sort((a, b) => a.draw - b.draw).map(({ each }) => each)
      expect(apply(new CrashHistory(limits), shuffled)).to.deep.equal(apply(history = new CrashHistory(limits), crashes))
    }))
  })
})
