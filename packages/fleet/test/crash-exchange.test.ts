import { RequestFingerprint, quietLog, type Log } from '@finchpitch/core'
import { CrashHistory, quarantineLimits, type Crash } from '@finchpitch/decisions'
import { TryNewsExchange, AttemptReportRelay, Crashes, EntryCounters, Facts, ServerLiveness, reportFrames, nowMs, recordCrashes, type BackendServer, type AttemptReports, type SidePlace } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { expect } from 'chai'

const fingerprint = RequestFingerprint.parse('a'.repeat(16))
const other = RequestFingerprint.parse('b'.repeat(16))

/** A channel of which only the frames that were sent are looked at. */
class Sent {
  readonly frames: Frame[] = []
  readonly channel = { send: (frame: Frame) => this.frames.push(frame) > 0, peer: { process: 'side' } } as unknown as Channel

  get crashes (): Array<FrameOf<'crashes'>> {
    return this.frames.filter(frame => frame.type === 'crashes')
  }
}

const crash = (server: string, more: Partial<Crash> = {}): Crash => ({ fingerprint, server, sentAt: nowMs() - 100, endedAt: nowMs(), ...more })
const newsOf = (...crashes: Crash[]): AttemptReports => ({ crashes, sound: [], limits: [], probes: [] })

describe('news of servers that ended under requests', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('from an entry to the side processes', () => {
    let places: SidePlace[]
    let sides: Map<string, Sent>
    let warned: string[]
    let exchange: TryNewsExchange
    const log = { ...quietLog, warn: (event: string) => { warned.push(event) } } as unknown as Log
    const begin = (): TryNewsExchange => new TryNewsExchange({ places: () => places, channelTo: host => sides.get(host)?.channel, log })
    const told = (): string[] => [...sides].filter(([, side]) => side.crashes.length > 0).map(([host]) => host)

    beforeEach(() => {
      warned = []
      places = ['a', 'b'].flatMap(domain => [1, 2, 3].map(each => ({ host: `${domain}${each}`, domain, lively: true })))
      sides = new Map(places.map(({ host }) => [host, new Sent()]))
      exchange = begin()
    })

    afterEach(() => exchange.close())

    it('go to one of each failure domain, which is the same for all entries', async () => {
      exchange.tell(newsOf(crash('s')))
      await time.pass(10)
      const first = told()
      expect(first.map(host => host.charAt(0))).to.deep.equal(['a', 'b'])
      const second = begin()
      second.tell(newsOf(crash('s')))
      await time.pass(10)
      second.close()
      expect(told()).to.deep.equal(first)
    })

    it('go in one frame for all that a server took along', async () => {
      for (const each of [fingerprint, other]) exchange.tell(newsOf(crash('s', { fingerprint: each })))
      await time.pass(10)
      expect(sides.get(told()[0] ?? '')?.crashes.map(frame => frame.crashes.length)).to.deep.equal([2])
    })

    it('that a request is sound are told together, and at once with an end', async () => {
      const sound = (): void => exchange.tell({ crashes: [], sound: [{ fingerprint: other, endedAt: nowMs() }], limits: [], probes: [] })
      sound()
      await time.pass(100)
      sound()
      expect(told()).to.have.length(0)
      await time.pass(350)
      expect(sides.get(told()[0] ?? '')?.crashes.map(frame => frame.sound.length)).to.deep.equal([2])
      for (const host of told()) for (const frame of sides.get(host)?.crashes ?? []) exchange.noted(host, frame.stamp)
      sound()
      exchange.tell(newsOf(crash('s')))
      await time.pass(10)
      expect(sides.get(told()[0] ?? '')?.crashes.at(-1)).to.have.nested.property('sound.length', 1)
    })

    it('are done with once they were noted', async () => {
      exchange.tell(newsOf(crash('s')))
      await time.pass(10)
      for (const host of told()) for (const frame of sides.get(host)?.crashes ?? []) exchange.noted(host, frame.stamp)
      await time.pass(3000)
      expect(told()).to.have.length(2)
      expect(warned).to.have.length(0)
    })

    it('go to the next one where the first does not answer, with the age that they have by then', async () => {
      exchange.tell(newsOf(crash('s')))
      await time.pass(10)
      const [firstOfA] = told()
      await time.pass(600)
      const inA = told().filter(host => host.startsWith('a'))
      expect(inA).to.have.length(2)
      const next = sides.get(inA.find(host => host !== firstOfA) ?? '')
      expect(next?.crashes[0]?.crashes[0]?.[3]).to.be.within(400, 620)
    })

    it('wait for a channel that is being opened', async () => {
      const late = sides
      sides = new Map()
      exchange.tell(newsOf(crash('s')))
      await time.pass(150)
      sides = late
      await time.pass(150)
      expect(told()).to.have.length(2)
    })

    it('are given up, with a line, where nobody answers', async () => {
      exchange.tell(newsOf(crash('s')))
      await time.pass(4000)
      expect(warned).to.deep.equal(['crashes.not_passed_on', 'crashes.not_passed_on'])
    })
  })

  describe('through a side process', () => {
    it('are answered, and go on to all other entries at once', async () => {
      const entries = [new Sent(), new Sent(), new Sent()]
      const relay = new AttemptReportRelay(() => entries.map(entry => entry.channel))
      const [first, ...others] = entries
      for (const frame of reportFrames(newsOf(crash('s')))) relay.handleReport(first?.channel as Channel, frame)
      await time.pass(30)
      expect(first?.frames.map(frame => frame.type)).to.deep.equal(['crashes_noted'])
      for (const entry of others) expect(entry.crashes.map(frame => frame.crashes.length)).to.deep.equal([1])
      relay.close()
    })

    it('do not go on twice', async () => {
      const entries = [new Sent(), new Sent()]
      const relay = new AttemptReportRelay(() => entries.map(entry => entry.channel))
      for (let each = 0; each < 3; each++) {
        for (const frame of reportFrames(newsOf(crash('s')))) relay.handleReport(entries[0]?.channel as Channel, frame)
        await time.pass(30)
      }
      expect(entries[1]?.crashes).to.have.length(1)
      relay.close()
    })

    it('are answered with what is known besides, as the entry may have started anew', () => {
      const relay = new AttemptReportRelay(() => [])
      const [before, anew] = [new Sent(), new Sent()]
      for (const frame of reportFrames(newsOf(crash('s'), crash('t'), crash('u', { fingerprint: other })))) relay.handleReport(before.channel, frame)
      expect(before.crashes).to.have.length(0)
      for (const frame of reportFrames(newsOf(crash('v')))) relay.handleReport(anew.channel, frame)
      expect(anew.crashes.flatMap(frame => frame.crashes.map(([, server]) => server))).to.deep.equal(['s', 't'])
      relay.close()
    })

    it('are told to an entry that comes later', () => {
      const relay = new AttemptReportRelay(() => [])
      const [from, late] = [new Sent(), new Sent()]
      for (const frame of reportFrames(newsOf(crash('s'), crash('t')))) relay.handleReport(from.channel, frame)
      relay.sendAll(late.channel)
      expect(late.crashes.flatMap(frame => frame.crashes)).to.have.length(2)
      relay.close()
    })
  })

  describe('on their way', () => {
    it('cross as ages, whatever the clocks say', () => {
      const ledger = new CrashHistory(quarantineLimits)
      const [frame] = reportFrames(newsOf(crash('s', { sentAt: nowMs() - 70, endedAt: nowMs() - 30 })))
      const taken = recordCrashes(ledger, frame ?? expect.fail())
      expect(taken.crashes).to.deep.equal([{ fingerprint, server: 's', sentAt: nowMs() - 70, endedAt: nowMs() - 30 }])
    })

    it('take several frames where there are many', () => {
      const many = Array.from({ length: 1201 }, (_, each) => crash(`s${each}`))
      expect(reportFrames(newsOf(...many)).map(frame => frame.crashes.length)).to.deep.equal([500, 500, 201])
    })
  })

  describe('at an entry', () => {
    let facts: Facts
    let crashes: Crashes
    let told: AttemptReports[]
    let looked: number
    let refuses: boolean
    const server: BackendServer = { id: 'i', service: 's', address: '10.0.0.1:80', domain: 'a', slots: 1, leaving: false, models: [] }
    const offer = (more: Partial<BackendServer>, revision: number): void => { facts.offer({ kind: 'server', key: 'i', revision, value: { ...server, ...more } }, 'store') }
    const brokeOff = async (more: Partial<BackendServer> = {}): Promise<void> => {
      await crashes.brokeOff({ request: 'r', fingerprint, server: { ...server, ...more }, sentAt: nowMs() - 50 })
      await time.pass(100)
    }

    beforeEach(() => {
      facts = new Facts(quietLog, () => 1000)
      offer({}, 1)
      told = []
      looked = 0
      refuses = true
      crashes = new Crashes({ facts, ends: new ServerLiveness(async () => refuses), exchange: { tell: news => { told.push(news) } }, askProbe: async () => true, quarantined: () => { looked += 1 }, counters: new EntryCounters(), log: quietLog })
    })

    it('count a server that ended, and tell the others of it', async () => {
      await brokeOff()
      expect(crashes.none).to.equal(false)
      expect(told.map(news => news.crashes.length)).to.deep.equal([1])
      expect(crashes.quarantine(fingerprint)).to.equal(undefined)
    })

    it('count a server that starts again under its id as another, and let those that wait look again', async () => {
      await brokeOff({ bornAt: 1 })
      await brokeOff({ bornAt: 2 })
      expect(crashes.quarantine(fingerprint)?.servers).to.deep.equal(['i 1', 'i 2'])
      expect(looked).to.equal(1)
    })

    it('count no connection that broke while its server lives', async () => {
      refuses = false
      await brokeOff()
      expect(crashes.none).to.equal(true)
      expect(told).to.have.length(0)
    })

    it('count no server that was leaving, or had left the list', async () => {
      offer({ leaving: true }, 2)
      await brokeOff()
      await brokeOff({ id: 'unknown' })
      expect(crashes.none).to.equal(true)
    })

    it('count a server that is found replaced a moment later, though its address never refused', async () => {
      refuses = false
      await brokeOff()
      await time.pass(500)
      facts.offer({ kind: 'server', key: 'j', revision: 9, value: { ...server, id: 'j' } }, 'store')
      expect(told.flatMap(news => news.crashes.map(each => [each.server, nowMs() - each.endedAt]))).to.deep.equal([['i', 600]])
    })

    it('count one that started again under its id', async () => {
      refuses = false
      await brokeOff({ bornAt: 1 })
      offer({ bornAt: 2 }, 9)
      expect(told.flatMap(news => news.crashes.map(each => each.server))).to.deep.equal(['i 1'])
    })

    it('count none that is replaced long after, or at another address, or that writes again', async () => {
      refuses = false
      await brokeOff()
      facts.offer({ kind: 'server', key: 'j', revision: 9, value: { ...server, id: 'j', address: '10.0.0.2:80' } }, 'store')
      offer({ slots: 2 }, 10)
      await time.pass(15_000)
      facts.offer({ kind: 'server', key: 'k', revision: 11, value: { ...server, id: 'k' } }, 'store')
      expect(told).to.have.length(0)
    })

    it('are joined with what others met', async () => {
      await brokeOff()
      const [frame] = reportFrames(newsOf(crash('j')))
      crashes.take(frame ?? expect.fail(), 'side')
      expect(crashes.quarantine(fingerprint)?.servers).to.deep.equal(['i', 'j'])
    })

    it('are void once a run of the same request came to its end, everywhere', async () => {
      await brokeOff()
      await brokeOff({ id: 'i', bornAt: 5 })
      crashes.endedWell(fingerprint)
      expect(crashes.quarantine(fingerprint)).to.equal(undefined)
      expect(told.at(-1)?.sound.map(run => run.fingerprint)).to.deep.equal([fingerprint])
      crashes.endedWell(fingerprint)
      expect(told).to.have.length(3)
    })
  })
})
