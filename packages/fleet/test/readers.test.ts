/*
 * A side process that had stood still for some seconds took itself for as far as the store was, without what had changed meanwhile.
 * Its entry had opened a connection while it stood, which nobody answered, and given it up: heartbeats on it said how far the entry
 * was, the facts would have followed once both sides had said hello, and the side process read the heartbeats when it woke. On its
 * next connection it said that it lacked nothing, so nobody told it. In the record of real processes `reader.lost` of one side
 * process told of two entries lost at revision 316 and, 80 ms later, of the same two at revision 324.
 */
import { ProcessId, FailureDomain, quietLog } from '@finchpitch/core'
import { EngineNews, Facts, Readers, type Reader } from '@finchpitch/fleet'
import { channelOptions } from '@finchpitch/stand-ins'
import type { Channel, Frame } from '@finchpitch/wire'
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
})
