/*
 * A side process that had stood still for some seconds took itself for as far as the store was, without what had changed meanwhile.
 * Its entry had opened a connection while it stood, which nobody answered, and given it up: heartbeats on it said how far the entry
 * was, the facts would have followed once both sides had said hello, and the side process read the heartbeats when it woke. On its
 * next connection it said that it lacked nothing, so nobody told it. In the record of real processes `reader.lost` of one side
 * process told of two entries lost at revision 316 and, 80 ms later, of the same two at revision 324.
 */
import { ProcessId, FailureDomain, quietLog } from '@finchpitch/core'
import { EngineNews, Facts, Readers, type Fact, type Reader } from '@finchpitch/fleet'
import { FakeTime, channelOptions } from '@finchpitch/stand-ins'
import type { Channel, Frame, StoreSight } from '@finchpitch/wire'
import { expect } from 'chai'

const domain = 'a'
const host = '10.0.0.1'
const complete = { table: 9, server: 9, version: 9 }
const claim = { type: 'heartbeat', revision: 9, complete, sight: 'reading' } as Frame

describe('a side process and the entries near', () => {
  let facts: Facts
  let readers: Readers
  let entry: Reader

  const channel = { peer: { process: ProcessId.parse('entry'), domain: FailureDomain.parse(domain) }, open: true, send: () => true, sendEncoded: () => true, beat: () => {}, close: () => {} } as unknown as Channel
  const news = (): EngineNews => new EngineNews({ host, changes: 0, held: new Map(), coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unread: 0, entries: 1, strangers: 0, fence: 1 })

  beforeEach(() => {
    facts = new Facts(quietLog, () => 1000)
    readers = new Readers({ domain, host, facts, news, sidePort: 1, channel: channelOptions('side'), dial: async () => { throw new Error('nobody is there') }, log: quietLog })
    entry = readers.join(channel)
  })

  afterEach(() => readers.close())

  describe('of which one reads the store', () => {
    it('is not as far as that one says before it has sent what it knows', () => {
      readers.take(claim, entry)
      expect(facts.complete).to.deep.equal({ table: 0, server: 0, version: 0 })
    })

    it('is as far as that one says once it has', () => {
      readers.take({ type: 'follow', hosts: [host], relay: false }, entry)
      readers.take(claim, entry)
      expect(facts.complete).to.deep.equal(complete)
    })
  })

  /*
   * What the store says came 3.0 s late to an entry that it turned away, over one side process elsewhere and one near, which
   * waited 1.5 s each though the entry had said that the store does not answer it. `belief.changed` at the three told the two waits.
   */
  describe('of which one is turned away by the store', () => {
    /** Longer than nothing, shorter than any wait for the peer's own word. */
    const promptMs = 50
    const waitMs = 1600
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
      }
    }) as unknown as Channel
    const says = (reader: Reader, sight: StoreSight): void => readers.take({ type: 'heartbeat', revision: 1, sight } as Frame, reader)

    beforeEach(() => {
      time = new FakeTime()
      received = []
    })

    afterEach(() => time.restore())

    for (const [peer, peerDomain, relay] of [['an entry near', domain, false], ['a side process elsewhere', 'b', true]] as const) {
      it(`sends at once to ${peer} that says so, and what was still held back for it`, async () => {
        const reader = readers.join(peerIn(peerDomain))
        readers.take({ type: 'follow', hosts: [host], relay }, reader)
        says(reader, 'reading')
        facts.offer(named(2), 'store')
        await time.pass(promptMs)
        expect(received).to.deep.equal([])
        says(reader, 'blind')
        await time.pass(promptMs)
        expect(received).to.deep.equal([2])
        facts.offer(named(3), 'store')
        await time.pass(promptMs)
        expect(received).to.deep.equal([2, 3])
        says(reader, 'reading')
        facts.offer(named(4), 'store')
        await time.pass(promptMs)
        expect(received).to.deep.equal([2, 3])
        await time.pass(waitMs)
        expect(received).to.deep.equal([2, 3, 4])
      })
    }

    it('says so itself, unless another entry near reads the store', () => {
      says(entry, 'blind')
      expect(facts.sight).to.equal('blind')
      const other = readers.join(peerIn(domain))
      says(other, 'reading')
      expect(facts.sight).to.equal('reading')
    })
  })
})
