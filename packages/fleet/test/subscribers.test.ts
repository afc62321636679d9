/*
 * Guards against a side process that was frozen for some seconds and then takes itself as up to date with the store, without the
 * facts that changed meanwhile. While it is frozen, an entry connects, sends heartbeats with its own revision, and gives up before
 * both sides have said hello and it sends any fact. After waking, the side process reads these heartbeats. On the next
 * connection it reports that nothing is missing, so nobody sends it the facts. In the logs of real processes, one side process
 * logged `reader.lost` for two entries at revision 316 and, 80 ms later, for the same two at revision 324.
 */
import { ProcessId, FailureDomain, silentLog } from '@finchpitch/core'
import { EngineUpdate, Facts, Subscribers, type Fact, type Subscriber } from '@finchpitch/fleet'
import { FakeTime, channelOptions } from '@finchpitch/stand-ins'
import { FrameDecoder, type Channel, type Frame, type StoreSight } from '@finchpitch/wire'
import { expect } from 'chai'

const domain = 'a'
const host = '10.0.0.1'
const complete = { table: 9, server: 9, version: 9 }
const heartbeat = { type: 'heartbeat', revision: 9, complete, sight: 'reading' } as Frame

describe('a side process and its local entries', () => {
  let facts: Facts
  let subscribers: Subscribers
  let entry: Subscriber

  const channel = { peer: { process: ProcessId.parse('entry'), domain: FailureDomain.parse(domain) }, open: true, send: () => true, sendEncoded: () => true, beat: () => {}, close: () => {} } as unknown as Channel
  const engineUpdate = (): EngineUpdate => new EngineUpdate({ host, changes: 0, held: new Map(), coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unread: 0, entries: 1, strangers: 0 })

  beforeEach(() => {
    facts = new Facts(silentLog, () => 1000)
    subscribers = new Subscribers({ domain, host, facts, engineUpdate, sidePort: 1, channel: channelOptions('side'), dial: async () => { throw new Error('no side process listens') }, log: silentLog })
    entry = subscribers.add(channel)
  })

  afterEach(() => subscribers.close())

  describe('one of which reads the store', () => {
    it('does not adopt the revision in a heartbeat before that entry has sent its facts', () => {
      subscribers.handleFrame(heartbeat, entry)
      expect(facts.complete).to.deep.equal({ table: 0, server: 0, version: 0 })
    })

    it('adopts the revision in a heartbeat once that entry has sent its facts', () => {
      subscribers.handleFrame({ type: 'follow', hosts: [host], relay: false }, entry)
      subscribers.handleFrame(heartbeat, entry)
      expect(facts.complete).to.deep.equal(complete)
    })
  })

  /*
   * Guards against late facts at a peer that gets no answer from the store. An entry received facts 3.0 s late through a remote and
   * a local side process, which held them back for 1.5 s each although the entry had reported that the store does not answer it.
   * The two delays showed in `belief.changed` of the three processes.
   */
  describe('one of which gets no answer from the store', () => {
    /** Allows for an immediate send, and is shorter than any delay for facts that are held back. */
    const sendMs = 50
    const holdbackMs = 1600
    let time: FakeTime
    let received: number[]

    const named = (revision: number): Fact => ({ kind: 'version', key: 'm/a', revision, value: { model: 'm', adapter: 'a', version: revision } })
    const peerIn = (peerDomain: string): Channel => ({
      ...channel,
      peer: { process: ProcessId.parse('peer'), domain: FailureDomain.parse(peerDomain) },
      setPace: () => {},
      send: (frame: Frame) => {
        if (frame.type === 'fact') received.push(frame.revision)
        return true
      },
      sendEncoded: (frames: readonly Buffer[]) => {
        const decoder = new FrameDecoder()
        for (const frame of frames) for (const decoded of decoder.read(frame)._unsafeUnwrap()) if (decoded.type === 'fact') received.push(decoded.revision)
        return true
      }
    }) as unknown as Channel
    const reportSight = (subscriber: Subscriber, sight: StoreSight): void => subscribers.handleFrame({ type: 'heartbeat', revision: 1, sight } as Frame, subscriber)

    beforeEach(() => {
      time = new FakeTime()
      received = []
    })

    afterEach(() => time.restore())

    for (const [peer, peerDomain, relay] of [['a local entry', domain, false], ['a remote side process', 'b', true]] as const) {
      it(`sends facts at once to ${peer} that reports so, including those still held back for it`, async () => {
        const subscriber = subscribers.add(peerIn(peerDomain))
        subscribers.handleFrame({ type: 'follow', hosts: [host], relay }, subscriber)
        reportSight(subscriber, 'reading')
        facts.offer(named(2), 'store')
        await time.advance(sendMs)
        expect(received).to.deep.equal([])
        reportSight(subscriber, 'blind')
        await time.advance(sendMs)
        expect(received).to.deep.equal([2])
        facts.offer(named(3), 'store')
        await time.advance(sendMs)
        expect(received).to.deep.equal([2, 3])
        reportSight(subscriber, 'reading')
        facts.offer(named(4), 'store')
        await time.advance(sendMs)
        expect(received).to.deep.equal([2, 3])
        await time.advance(holdbackMs)
        expect(received).to.deep.equal([2, 3, 4])
      })
    }

    it('reports so itself, unless another local entry reads the store', () => {
      reportSight(entry, 'blind')
      expect(facts.sight).to.equal('blind')
      const other = subscribers.add(peerIn(domain))
      reportSight(other, 'reading')
      expect(facts.sight).to.equal('reading')
    })
  })
})
