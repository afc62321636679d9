import { RequestFingerprint } from '@finchpitch/core'
import { CrashHistory, type Crash, type QuarantineLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import fc from 'fast-check'

const limits: QuarantineLimits = { shortThreshold: 2, shortQuarantineMs: 500, longThreshold: 3, keepMs: 1000, probeMs: 200, probes: 2, most: 4 }
const fingerprint = (name: string): RequestFingerprint => RequestFingerprint.parse(name.padEnd(16, '_'))
const bad = fingerprint('bad')
const crash = (server: string, sentAt: number, endedAt: number, of = bad): Crash => ({ fingerprint: of, server, sentAt, endedAt })

describe('crash records of requests', () => {
  let ledger: CrashHistory

  beforeEach(() => { ledger = new CrashHistory(limits) })

  describe('a quarantine', () => {
    it('starts at the second consecutive crash and names the servers', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      expect(ledger.quarantine(bad, 10)).to.equal(undefined)
      ledger.recordCrash(crash('b', 20, 30), 30)
      expect(ledger.quarantine(bad, 30)).to.deep.equal({ servers: ['a', 'b'], leftMs: 500 })
    })

    it('does not start when several servers crash at the same time', () => {
      ledger.recordCrash(crash('a', 0, 10), 11)
      ledger.recordCrash(crash('b', 5, 10), 11)
      ledger.recordCrash(crash('c', 9, 11), 11)
      expect(ledger.quarantine(bad, 11)).to.equal(undefined)
    })

    it('does not start when the same server is reported twice', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      expect(ledger.recordCrash(crash('a', 20, 30), 30)).to.equal(false)
      expect(ledger.quarantine(bad, 30)).to.equal(undefined)
    })

    it('does not affect other requests', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 20, 30), 30)
      expect(ledger.quarantine(fingerprint('other'), 30)).to.equal(undefined)
    })

    it('expires after a short time, as an unrelated fault may have crashed two servers in a row', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 20, 30), 30)
      expect(ledger.quarantine(bad, 529)).to.not.equal(undefined)
      expect(ledger.quarantine(bad, 530)).to.equal(undefined)
    })

    it('lasts until the crashes expire once there is a third one', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 20, 30), 30)
      ledger.recordCrash(crash('c', 540, 550), 550)
      expect(ledger.quarantine(bad, 550)).to.deep.equal({ servers: ['a', 'b', 'c'], leftMs: 500 })
      ledger.recordCrash(crash('d', 560, 570), 570)
      expect(ledger.quarantine(bad, 1069)).to.not.equal(undefined)
      expect(ledger.quarantine(bad, 1070)).to.equal(undefined)
    })
  })

  describe('a completed run', () => {
    it('discards the crashes before it, including those reported later', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      expect(ledger.sound({ fingerprint: bad, endedAt: 40 })).to.equal(true)
      expect(ledger.recordCrash(crash('b', 20, 30), 50)).to.equal(false)
      expect(ledger.quarantine(bad, 50)).to.equal(undefined)
    })

    it('releases a quarantined request', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 20, 30), 30)
      ledger.sound({ fingerprint: bad, endedAt: 31 })
      expect(ledger.quarantine(bad, 31)).to.equal(undefined)
    })

    it('does not discard later crashes', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.sound({ fingerprint: bad, endedAt: 15 })
      ledger.recordCrash(crash('b', 20, 30), 30)
      ledger.recordCrash(crash('c', 40, 50), 50)
      expect(ledger.quarantine(bad, 50)?.servers).to.deep.equal(['b', 'c'])
    })

    it('is ignored for a request without a record', () => {
      expect(ledger.sound({ fingerprint: bad, endedAt: 1 })).to.equal(false)
      expect(ledger.size).to.equal(0)
    })
  })

  describe('the table', () => {
    it('is bounded, and evicts quarantined requests last', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 20, 30), 30)
      for (let each = 0; each < 20; each++) ledger.recordCrash(crash('c', 40, 50, fingerprint(`p${each}`)), 50)
      expect(ledger.size).to.be.at.most(limits.most)
      expect(ledger.quarantine(bad, 50)).to.not.equal(undefined)
    })

    it('drops expired records when nothing else is recorded', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.sound({ fingerprint: bad, endedAt: 40 })
      ledger.expire(1100)
      expect(ledger.size).to.equal(0)
    })

    it('drops a request when its last crash expires', () => {
      ledger.recordCrash(crash('a', 0, 10), 10)
      ledger.recordCrash(crash('b', 2000, 2010, fingerprint('other')), 2010)
      expect(ledger.size).to.equal(1)
      expect(ledger.recordCrash(crash('a', 0, 10), 2010)).to.equal(false)
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
      expect(apply(new CrashHistory(limits), shuffled)).to.deep.equal(apply(ledger = new CrashHistory(limits), crashes))
    }))
  })
})
