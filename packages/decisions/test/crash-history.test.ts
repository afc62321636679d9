import { Fingerprint } from '@finchpitch/core'
import { CrashHistory, quarantineLimits, type Crash, type QuarantineLimits } from '@finchpitch/decisions'
import { expect } from 'chai'
import fc from 'fast-check'

const limits: QuarantineLimits = { shortThreshold: 2, shortQuarantineMs: 500, longThreshold: 3, partThreshold: 3, keepMs: 1000, probeBackoffMs: [1000, 5000], probeMs: 200, probes: 2, most: 4 }
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

  describe('of parts of prompts', () => {
    const part = (name: string): Fingerprint => fingerprint(`_${name}`)
    const [faulty, beside] = [part('faulty'), part('beside')]
    let now = 0

    beforeEach(() => { now = 0 })

    /** Crashes one more server, 20 ms after the last one, while it runs all of this work. */
    const crashUnder = (...work: Fingerprint[]): void => {
      now += 20
      for (const each of work) history.recordCrash(crash(`s${now}`, now - 10, now, each), now)
    }
    const crashTimes = (times: number, ...work: Fingerprint[]): void => { for (let each = 0; each < times; each++) crashUnder(...work) }
    const typeOf = (...work: Fingerprint[]): string => history.verdict(work, now).type

    it('starts at the third consecutive crash, whichever requests have the part', () => {
      crashUnder(faulty, fingerprint('r1'))
      crashUnder(faulty, fingerprint('r2'))
      expect(typeOf(faulty, fingerprint('r3'))).to.equal('run')
      crashUnder(faulty, fingerprint('r3'))
      expect(typeOf(faulty, fingerprint('r4'))).to.equal('quarantined')
      expect(typeOf(beside)).to.equal('run')
    })

    it('is not counted for a part that requests complete with between the crashes', () => {
      crashTimes(2, faulty, beside)
      history.sound({ fingerprint: beside, endedAt: now + 1 })
      crashTimes(2, faulty, beside)
      expect(typeOf(faulty)).to.equal('quarantined')
      expect(typeOf(beside)).to.equal('run')
    })

    it('allows one run of each of two equal suspects without the other', () => {
      crashTimes(3, faulty, beside)
      expect(typeOf(faulty, beside)).to.equal('quarantined')
      expect(history.verdict([beside], now)).to.deep.equal({ type: 'probe', of: [beside] })
      expect(history.mayProbe(beside, now)).to.equal(true)
      now += 1
      history.recordProbe({ fingerprint: beside, at: now }, now)
      expect(typeOf(beside)).to.equal('quarantined')
      expect(history.mayProbe(beside, now)).to.equal(false)
    })

    it('ends for one of two equal suspects once a run without the other completes', () => {
      crashTimes(3, faulty, beside)
      history.recordProbe({ fingerprint: beside, at: now }, now)
      history.sound({ fingerprint: beside, endedAt: now + 30 })
      now += 30
      expect(typeOf(beside)).to.equal('run')
      expect(typeOf(faulty)).to.equal('quarantined')
    })

    it('ends for one of two equal suspects once a run of the other crashes a server', () => {
      crashTimes(3, faulty, beside)
      history.recordProbe({ fingerprint: faulty, at: now }, now)
      crashUnder(faulty)
      expect(typeOf(beside)).to.equal('run')
      expect(typeOf(faulty)).to.equal('quarantined')
    })

    it('starts for a part with crashes of its own beside a stronger suspect', () => {
      crashTimes(5, faulty, beside)
      crashTimes(3, beside)
      expect(typeOf(beside)).to.equal('quarantined')
      crashTimes(4, faulty)
      crashTimes(1, faulty)
      expect(typeOf(faulty)).to.equal('quarantined')
      expect(typeOf(beside)).to.equal('quarantined')
    })

    it('does not start for the parts of a single request that crashes servers', () => {
      const request = fingerprint('r')
      crashTimes(3, request, faulty)
      expect(typeOf(request, faulty)).to.equal('quarantined')
      expect(typeOf(fingerprint('other'), faulty)).to.equal('run')
      crashUnder(fingerprint('other'), faulty)
      expect(typeOf(fingerprint('another'), faulty)).to.equal('quarantined')
    })
  })

  describe('after probes that crash servers', () => {
    const [hour, day] = [3_600_000, 86_400_000]

    it('are quarantined for longer each time, also by a process that has only its peers\' reports', () => {
      for (const time of [20, 40, 60]) history.recordCrash(crash(`s${time}`, time - 10, time), time)
      for (const at of [1020, 2100]) {
        expect(history.probeDue(bad, at)).to.equal(true)
        history.recordProbe({ fingerprint: bad, at }, at)
        history.recordCrash(crash(`probe${at}`, at, at + 10), at + 10)
        expect(history.probeDue(bad, at + 11)).to.equal(false)
      }
      expect(history.quarantine(bad, 7109)?.leftMs).to.equal(1)
      expect(history.quarantine(bad, 7110)).to.equal(undefined)
      const started = new CrashHistory(limits)
      for (const probe of history.probes()) started.recordProbe(probe, 5000)
      for (const each of history.crashes(5000)) started.recordCrash(each, 5000)
      expect(started.quarantine(bad, 5000)?.leftMs).to.equal(2110)
    })

    it('run at most three more times in a day after the fifth crash, if a request comes every second', () => {
      const all = new CrashHistory(quarantineLimits)
      const crashes: number[] = []
      for (let now = 0; now < day; now += 1000) {
        const verdict = all.verdict([fingerprint('_bad')], now)
        if (verdict.type === 'quarantined') continue
        for (const each of verdict.type === 'probe' ? verdict.of : []) all.recordProbe({ fingerprint: each, at: now }, now)
        all.recordCrash(crash(`s${now}`, now, now + 80, fingerprint('_bad')), now + 80)
        crashes.push(now)
        all.expire(now)
      }
      const [,,,, fifth = Infinity] = crashes
      expect(crashes.filter(at => at > fifth)).to.have.length.at.most(3)
      expect(crashes.filter(at => at > hour)).to.have.length.at.most(3)
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
