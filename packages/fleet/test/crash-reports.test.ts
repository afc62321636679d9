import { Fingerprint, silentLog, type Log } from '@finchpitch/core'
import { CrashHistory, quarantineLimits, type Crash } from '@finchpitch/decisions'
import { AttemptReporter, AttemptReportRelay, CrashTracker, EntryCounters, Facts, ServerLiveness, reportFrames, nowMs, recordCrashes, type BackendServer, type AttemptReports, type ReportTarget } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { expect } from 'chai'

const fingerprint = Fingerprint.parse('a'.repeat(16))
const other = Fingerprint.parse('b'.repeat(16))

/** A channel that records the frames sent over it. */
class RecordingChannel {
  readonly frames: Frame[] = []
  readonly channel = { send: (frame: Frame) => this.frames.push(frame) > 0, peer: { process: 'side' } } as unknown as Channel

  get crashes (): Array<FrameOf<'crashes'>> {
    return this.frames.filter(frame => frame.type === 'crashes')
  }
}

const crash = (server: string, more: Partial<Crash> = {}): Crash => ({ fingerprint, server, sentAt: nowMs() - 100, endedAt: nowMs(), ...more })
const reportsOf = (...crashes: Crash[]): AttemptReports => ({ crashes, sound: [], limits: [], probes: [] })

describe('reports of crashed servers', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('sent by an entry to side processes', () => {
    let sideProcesses: ReportTarget[]
    let sides: Map<string, RecordingChannel>
    let warned: string[]
    let reporter: AttemptReporter
    const log = { ...silentLog, warn: (event: string) => { warned.push(event) } } as unknown as Log
    const begin = (): AttemptReporter => new AttemptReporter({ sideProcesses: () => sideProcesses, channelTo: host => sides.get(host)?.channel, log })
    const hostsReached = (): string[] => [...sides].filter(([, side]) => side.crashes.length > 0).map(([host]) => host)

    beforeEach(() => {
      warned = []
      sideProcesses = ['a', 'b'].flatMap(domain => [1, 2, 3].map(each => ({ host: `${domain}${each}`, domain, responsive: true })))
      sides = new Map(sideProcesses.map(({ host }) => [host, new RecordingChannel()]))
      reporter = begin()
    })

    afterEach(() => reporter.close())

    it('go to one side process of each failure domain, the same for all entries', async () => {
      reporter.report(reportsOf(crash('s')))
      await time.advance(10)
      const first = hostsReached()
      expect(first.map(host => host.charAt(0))).to.deep.equal(['a', 'b'])
      const second = begin()
      second.report(reportsOf(crash('s')))
      await time.advance(10)
      second.close()
      expect(hostsReached()).to.deep.equal(first)
    })

    it('are batched in one frame for all requests that a crash failed', async () => {
      for (const each of [fingerprint, other]) reporter.report(reportsOf(crash('s', { fingerprint: each })))
      await time.advance(10)
      expect(sides.get(hostsReached()[0] ?? '')?.crashes.map(frame => frame.crashes.length)).to.deep.equal([2])
    })

    it('are delayed and batched for completed runs, but sent at once along with a crash', async () => {
      const reportCompleted = (): void => reporter.report({ crashes: [], sound: [{ fingerprint: other, endedAt: nowMs() }], limits: [], probes: [] })
      reportCompleted()
      await time.advance(100)
      reportCompleted()
      expect(hostsReached()).to.have.length(0)
      await time.advance(350)
      expect(sides.get(hostsReached()[0] ?? '')?.crashes.map(frame => frame.sound.length)).to.deep.equal([2])
      for (const host of hostsReached()) for (const frame of sides.get(host)?.crashes ?? []) reporter.handleAck(host, frame.stamp)
      reportCompleted()
      reporter.report(reportsOf(crash('s')))
      await time.advance(10)
      expect(sides.get(hostsReached()[0] ?? '')?.crashes.at(-1)).to.have.nested.property('sound.length', 1)
    })

    it('are not sent again once they are acknowledged', async () => {
      reporter.report(reportsOf(crash('s')))
      await time.advance(10)
      for (const host of hostsReached()) for (const frame of sides.get(host)?.crashes ?? []) reporter.handleAck(host, frame.stamp)
      await time.advance(3000)
      expect(hostsReached()).to.have.length(2)
      expect(warned).to.have.length(0)
    })

    it('go to the next side process if the first does not answer, with their age at that time', async () => {
      reporter.report(reportsOf(crash('s')))
      await time.advance(10)
      const [firstOfA] = hostsReached()
      await time.advance(600)
      const inA = hostsReached().filter(host => host.startsWith('a'))
      expect(inA).to.have.length(2)
      const next = sides.get(inA.find(host => host !== firstOfA) ?? '')
      expect(next?.crashes[0]?.crashes[0]?.[3]).to.be.within(400, 620)
    })

    it('are sent once a channel that is being opened is available', async () => {
      const available = sides
      sides = new Map()
      reporter.report(reportsOf(crash('s')))
      await time.advance(150)
      sides = available
      await time.advance(150)
      expect(hostsReached()).to.have.length(2)
    })

    it('are dropped with a warning if no side process answers', async () => {
      reporter.report(reportsOf(crash('s')))
      await time.advance(4000)
      expect(warned).to.deep.equal(['crashes.not_passed_on', 'crashes.not_passed_on'])
    })
  })

  describe('relayed by a side process', () => {
    it('are acknowledged, and relayed to all other entries', async () => {
      const entries = [new RecordingChannel(), new RecordingChannel(), new RecordingChannel()]
      const relay = new AttemptReportRelay(() => entries.map(entry => entry.channel))
      const [first, ...others] = entries
      for (const frame of reportFrames(reportsOf(crash('s')))) relay.handleReport(first?.channel as Channel, frame)
      await time.advance(30)
      expect(first?.frames.map(frame => frame.type)).to.deep.equal(['crashes_noted'])
      for (const entry of others) expect(entry.crashes.map(frame => frame.crashes.length)).to.deep.equal([1])
      relay.close()
    })

    it('are relayed with a confirmed limit only if it is much newer than the last statement', async () => {
      const entries = [new RecordingChannel(), new RecordingChannel()]
      const relay = new AttemptReportRelay(() => entries.map(entry => entry.channel))
      const reportLimit = async (): Promise<number> => {
        const limit = { server: 's', perSecond: 0.5, sentAt: nowMs(), heardAt: nowMs() }
        for (const frame of reportFrames({ ...reportsOf(), limits: [limit] })) relay.handleReport(entries[0]?.channel as Channel, frame)
        await time.advance(100)
        return entries[1]?.crashes.length ?? 0
      }
      expect(await reportLimit()).to.equal(1)
      expect(await reportLimit()).to.equal(1)
      await time.advance(10_000)
      expect(await reportLimit()).to.equal(2)
      relay.close()
    })

    it('are not relayed twice', async () => {
      const entries = [new RecordingChannel(), new RecordingChannel()]
      const relay = new AttemptReportRelay(() => entries.map(entry => entry.channel))
      for (let each = 0; each < 3; each++) {
        for (const frame of reportFrames(reportsOf(crash('s')))) relay.handleReport(entries[0]?.channel as Channel, frame)
        await time.advance(30)
      }
      expect(entries[1]?.crashes).to.have.length(1)
      relay.close()
    })

    it('are answered with other known crashes of the same requests, as the entry may have restarted', () => {
      const relay = new AttemptReportRelay(() => [])
      const [before, restarted] = [new RecordingChannel(), new RecordingChannel()]
      for (const frame of reportFrames(reportsOf(crash('s'), crash('t'), crash('u', { fingerprint: other })))) relay.handleReport(before.channel, frame)
      expect(before.crashes).to.have.length(0)
      for (const frame of reportFrames(reportsOf(crash('v')))) relay.handleReport(restarted.channel, frame)
      expect(restarted.crashes.flatMap(frame => frame.crashes.map(([, server]) => server))).to.deep.equal(['s', 't'])
      relay.close()
    })

    it('are sent to an entry that connects later', () => {
      const relay = new AttemptReportRelay(() => [])
      const [from, late] = [new RecordingChannel(), new RecordingChannel()]
      for (const frame of reportFrames(reportsOf(crash('s'), crash('t')))) relay.handleReport(from.channel, frame)
      relay.sendAll(late.channel)
      expect(late.crashes.flatMap(frame => frame.crashes)).to.have.length(2)
      relay.close()
    })
  })

  describe('in frames', () => {
    it('carry ages, so that clocks need not agree', () => {
      const history = new CrashHistory(quarantineLimits)
      const [frame] = reportFrames(reportsOf(crash('s', { sentAt: nowMs() - 70, endedAt: nowMs() - 30 })))
      const recorded = recordCrashes(history, frame ?? expect.fail())
      expect(recorded.crashes).to.deep.equal([{ fingerprint, server: 's', sentAt: nowMs() - 70, endedAt: nowMs() - 30 }])
    })

    it('are split over several frames if there are many', () => {
      const many = Array.from({ length: 1201 }, (_, each) => crash(`s${each}`))
      expect(reportFrames(reportsOf(...many)).map(frame => frame.crashes.length)).to.deep.equal([500, 500, 201])
    })
  })

  describe('made by an entry', () => {
    let facts: Facts
    let crashes: CrashTracker
    let sent: AttemptReports[]
    let quarantines: number
    let refusesConnections: boolean
    const server: BackendServer = { id: 'i', service: 's', address: '10.0.0.1:80', domain: 'a', slots: 1, leaving: false, models: [] }
    const offer = (more: Partial<BackendServer>, revision: number): void => { facts.offer({ kind: 'server', key: 'i', revision, value: { ...server, ...more } }, 'store') }
    const failAttempt = async (more: Partial<BackendServer> = {}): Promise<void> => {
      await crashes.brokeOff({ request: 'r', fingerprint, parts: [], server: { ...server, ...more }, sentAt: nowMs() - 50, responseMs: 10 })
      await time.advance(100)
    }

    beforeEach(() => {
      facts = new Facts(silentLog, () => 1000)
      offer({}, 1)
      sent = []
      quarantines = 0
      refusesConnections = true
      crashes = new CrashTracker({ facts, liveness: new ServerLiveness(async () => refusesConnections), reporter: { report: reports => { sent.push(reports) } }, requestProbe: async () => true, onQuarantine: () => { quarantines += 1 }, counters: new EntryCounters(), log: silentLog })
    })

    it('count a server that crashed, and are shared with other entries', async () => {
      await failAttempt()
      expect(crashes.isEmpty).to.equal(false)
      expect(sent.map(reports => reports.crashes.length)).to.deep.equal([1])
      expect(crashes.quarantine(fingerprint)).to.equal(undefined)
    })

    it('count a restarted server with the same id as another server, and trigger the callback once the request is quarantined', async () => {
      await failAttempt({ bornAt: 1 })
      await failAttempt({ bornAt: 2 })
      expect(crashes.quarantine(fingerprint)?.servers).to.deep.equal(['i 1', 'i 2'])
      expect(quarantines).to.equal(1)
    })

    it('do not count a broken connection to a server that still accepts connections', async () => {
      refusesConnections = false
      await failAttempt()
      expect(crashes.isEmpty).to.equal(true)
      expect(sent).to.have.length(0)
    })

    it('do not count a server that was draining, or is no longer listed', async () => {
      offer({ leaving: true }, 2)
      await failAttempt()
      await failAttempt({ id: 'unknown' })
      expect(crashes.isEmpty).to.equal(true)
    })

    it('count a server that is replaced soon after, even if its address never refused connections', async () => {
      refusesConnections = false
      await failAttempt()
      await time.advance(500)
      facts.offer({ kind: 'server', key: 'j', revision: 9, value: { ...server, id: 'j' } }, 'store')
      expect(sent.flatMap(reports => reports.crashes.map(each => [each.server, nowMs() - each.endedAt]))).to.deep.equal([['i', 600]])
    })

    it('count a server that restarts with the same id', async () => {
      refusesConnections = false
      await failAttempt({ bornAt: 1 })
      offer({ bornAt: 2 }, 9)
      expect(sent.flatMap(reports => reports.crashes.map(each => each.server))).to.deep.equal(['i 1'])
    })

    it('do not count a server that is replaced much later or at another address, or that updates its registration', async () => {
      refusesConnections = false
      await failAttempt()
      facts.offer({ kind: 'server', key: 'j', revision: 9, value: { ...server, id: 'j', address: '10.0.0.2:80' } }, 'store')
      offer({ slots: 2 }, 10)
      await time.advance(15_000)
      facts.offer({ kind: 'server', key: 'k', revision: 11, value: { ...server, id: 'k' } }, 'store')
      expect(sent).to.have.length(0)
    })

    it('are combined with those of other entries', async () => {
      await failAttempt()
      const [frame] = reportFrames(reportsOf(crash('j')))
      crashes.handleReport(frame ?? expect.fail(), 'side')
      expect(crashes.quarantine(fingerprint)?.servers).to.deep.equal(['i', 'j'])
    })

    it('are discarded at all entries once a run of the same request completes', async () => {
      await failAttempt()
      await failAttempt({ id: 'i', bornAt: 5 })
      crashes.recordCompletion([fingerprint])
      expect(crashes.quarantine(fingerprint)).to.equal(undefined)
      expect(sent.at(-1)?.sound.map(run => run.fingerprint)).to.deep.equal([fingerprint])
      crashes.recordCompletion([fingerprint])
      expect(sent).to.have.length(3)
    })
  })
})
