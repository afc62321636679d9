import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Log, Revision, silentLog } from '@finchpitch/core'
import { FactLink, Facts, frameOf, type Fact } from '@finchpitch/fleet'
import { FakeTime, channelOptions, duplexPair } from '@finchpitch/stand-ins'
import { Channel, type CompleteRevisions, type FrameOf, type Listing } from '@finchpitch/wire'
import { expect } from 'chai'

const fact = (revision: number): Fact => ({ kind: 'version', key: 'm/a', revision, value: { model: 'm', adapter: 'a', version: revision } })
const complete = (version: number): CompleteRevisions => ({ table: 0, server: 0, version })

/** The heap in use after a collection, in bytes. */
const heapBytes = (): number => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}

/* Guards against an end of side processes by their heap limit: each link kept a string and a revision for every fact it had exchanged. */
describe('links to the peers of a side process', () => {
  const linkCount = 70
  const factCount = 20_000

  it('hold no more the more adapters change', () => {
    const time = new FakeTime()
    try {
      const facts = new Facts(silentLog, () => 1000)
      const channel = { open: true, peer: { complete: undefined }, sendEncoded: () => true, beat: () => {} } as unknown as Channel
      const links = Array.from({ length: linkCount }, () => new FactLink(facts, channel, 0, silentLog))
      for (const link of links) link.start()
      const offer = (from: number, to: number): void => {
        for (let each = from; each < to; each++) facts.offer({ kind: 'version', key: `m/a${each}`, revision: each + 1, value: { model: 'm', adapter: `a${each}`, version: 1 } }, 'store')
      }
      offer(0, factCount / 2)
      const before = heapBytes()
      offer(factCount / 2, factCount)
      const bytesPerFact = (heapBytes() - before) / (factCount / 2)
      for (const link of links) link.stop()
      // The replica and the encoded frame, of which all links share one, but nothing for each link.
      expect(bytesPerFact).to.be.below(linkCount * 16)
    } finally {
      time.restore()
    }
  }).timeout(20_000)
})

describe('FactLink', () => {
  let time: FakeTime
  let facts: Facts
  let local: Channel
  let remote: Channel
  let received: number[]

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
    received = []
    const [one, other] = duplexPair()
    local = new Channel(one, channelOptions('local'))
    remote = new Channel(other, channelOptions('remote'))
    void (async () => { for await (const frame of local.frames()) void frame })()
    void (async () => { for await (const frame of remote.frames()) if (frame.type === 'fact') received.push(frame.revision) })()
  })

  afterEach(() => {
    local.close()
    remote.close()
    time.restore()
  })

  it('sends changes immediately to a peer without another source', async () => {
    await time.settle()
    const link = new FactLink(facts, local, 0, silentLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.settle()
    expect(received).to.deep.equal([3])
  })

  it('sends a change that is written again unchanged in the same batch, such as a server that begins to drain', async () => {
    // The later revision had nothing new to send, and the earlier one counted as outdated.
    await time.settle()
    const link = new FactLink(facts, local, 0, silentLog)
    link.start()
    facts.batch(() => {
      facts.offer(fact(3), 'store')
      facts.offer({ ...fact(3), revision: 4 } as Fact, 'store')
    })
    await time.settle()
    expect(received).to.deep.equal([4])
  })

  describe('when a listing brings several facts', () => {
    const named = (adapter: string, revision: number): Fact => ({ kind: 'version', key: `m/${adapter}`, revision, value: { model: 'm', adapter, version: 1 } })
    let writes: number
    let offerListing: () => void

    beforeEach(async () => {
      await time.settle()
      writes = 0
      const sendEncoded = local.sendEncoded.bind(local)
      local.sendEncoded = frames => {
        writes += 1
        return sendEncoded(frames)
      }
      offerListing = () => facts.batch(() => { for (const revision of [1, 2, 3]) facts.offer(named(`a${revision}`, revision), 'store') })
    })

    for (const delayMs of [0, 1500]) {
      it(`sends them in one write with a delay of ${delayMs} ms, since each write is a system call at both ends`, async () => {
        const link = new FactLink(facts, local, delayMs, silentLog)
        link.start()
        offerListing()
        await time.advance(delayMs + 100)
        expect(received).to.deep.equal([1, 2, 3])
        expect(writes).to.equal(1)
        link.stop()
      })
    }

    describe('the peer', () => {
      let peerFacts: Facts
      let peerLink: FactLink
      let lines: string[]
      let settled: number

      beforeEach(() => {
        lines = []
        settled = 0
        peerFacts = new Facts(new Log('peer', {}, 'info', { write: line => { lines.push(line) } }), () => 1000)
        peerFacts.onSettled(() => { settled += 1 })
        peerLink = new FactLink(peerFacts, remote, 1500, silentLog)
        for (const revision of [1, 2, 3]) peerLink.handleFrame(frameOf(named(`a${revision}`, revision)))
      })

      afterEach(() => peerLink.stop())

      it('applies and logs them together, since what follows from each looks at all of them', async () => {
        await time.settle()
        expect(settled).to.equal(1)
        expect(peerFacts.versions.size).to.equal(3)
        expect(lines.filter(line => line.includes('belief.'))).to.have.length(1)
      })

      it('has applied them once it handles a heartbeat that reports them as complete', () => {
        peerLink.handleFrame({ type: 'heartbeat', revision: Revision.parse(3), complete: complete(3) })
        expect(peerFacts.versions.size).to.equal(3)
      })

      it('has applied them once the channel has ended', () => {
        peerLink.stop()
        expect(peerFacts.versions.size).to.equal(3)
      })

      // Guards against facts that are lost: the link considers them sent, so only a new channel brings them again.
      it('closes the channel if they can\'t be applied', async () => {
        peerFacts.batch = () => { throw new Error('no space left') }
        await time.settle()
        expect(remote.open).to.equal(false)
      })
    })

    it('sends them before a heartbeat that reports the listing as complete, which the peer relies on', () => {
      const sent: number[] = []
      local.sendEncoded = frames => sent.push(frames.length) > 0
      const link = new FactLink(facts, local, 0, silentLog)
      link.start()
      offerListing()
      local.beat()
      expect(sent).to.deep.equal([3, 1])
      link.stop()
    })
  })

  describe('to a peer that has not read the store yet', () => {
    it('sends everything after the short delay', async () => {
      facts.offer(fact(3), 'store')
      await time.settle()
      new FactLink(facts, local, 1500, silentLog).start(250)
      await time.advance(300)
      expect(received).to.deep.equal([3])
    })

    it('sends nothing if the peer reads the store in the meantime', async () => {
      facts.offer(fact(3), 'store')
      await time.settle()
      const link = new FactLink(facts, local, 1500, silentLog)
      link.start(250)
      link.updateComplete(complete(3))
      await time.advance(2000)
      expect(received).to.deep.equal([])
    })

    it('sends a heartbeat as soon as every kind has been read', async () => {
      let beats = 0
      const heartbeat = (): FrameOf<'heartbeat'> => {
        beats += 1
        return { type: 'heartbeat', revision: Revision.parse(0) }
      }
      const [one] = duplexPair()
      const channel = new Channel(one, { ...channelOptions('local'), heartbeat })
      const link = new FactLink(facts, channel, 1500, silentLog)
      facts.markComplete('table', 4)
      facts.markComplete('server', 4)
      expect(beats).to.equal(0)
      facts.markComplete('version', 4)
      expect(beats).to.equal(1)
      link.stop()
      channel.close()
    })
  })

  it('does not send what the peer reports to have before the delay ends', async () => {
    await time.settle()
    const link = new FactLink(facts, local, 1500, silentLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.advance(1000)
    link.updateComplete(complete(3))
    await time.advance(1000)
    expect(received).to.deep.equal([])
  })

  describe('when a server is removed that last changed long before', () => {
    const removal: Fact = { kind: 'server', key: 's', revision: 3.5, value: undefined, seenAt: 90 }

    beforeEach(async () => {
      await time.settle()
      facts.offer({ kind: 'server', key: 's', revision: 3, value: { id: 's', service: 'llm', address: '10.0.0.1:1', domain: 'a', slots: 8, leaving: false, models: [] } }, 'store')
    })

    it('sends the removal to a peer that is complete only up to a revision before the removal was observed', async () => {
      const link = new FactLink(facts, local, 0, silentLog)
      link.start()
      await time.settle()
      link.updateComplete({ table: 50, server: 50, version: 50 })
      facts.offer(removal, 'store')
      await time.settle()
      expect(received).to.deep.equal([3, 3.5])
    })

    it('makes the peer drop the server immediately on a final removal', async () => {
      const other = new Facts(silentLog, () => 1000)
      const server = { id: 's', service: 'llm', address: '10.0.0.1:1', domain: 'a', slots: 8, leaving: false, models: [] }
      other.offer({ kind: 'server', key: 's', revision: 3, value: server }, 'store')
      const receiver = new FactLink(other, local, 0, silentLog)
      receiver.handleFact({ type: 'fact', kind: 'server', key: 's', revision: 3.5, seenAt: 90, value: null })
      expect(other.servers.size).to.equal(1)
      other.offer({ kind: 'server', key: 's', revision: 4, value: server }, 'store')
      facts.remove({ ...removal, revision: 4.5 }, 'store')
      const [fact] = facts.all().filter(each => each.kind === 'server')
      if (fact === undefined) throw new Error('the removal was not kept as a tombstone')
      receiver.handleFact(frameOf(fact))
      expect(other.servers.size).to.equal(0)
    })

    it('sends nothing to a peer that has read the store since the removal was observed', async () => {
      const link = new FactLink(facts, local, 1500, silentLog)
      link.start()
      link.updateComplete({ table: 50, server: 90, version: 50 })
      facts.offer(removal, 'store')
      await time.advance(2000)
      expect(received).to.deep.equal([])
    })
  })

  describe('when this process has read a list without knowing what was removed before', () => {
    const server = (key: string, revision: number): Fact =>
      ({ kind: 'server', key, revision, value: { id: key, service: 's', address: `10.0.0.1:${revision}`, domain: 'a', slots: 1, leaving: false, models: [] } })
    const read = (revision: number): void => {
      facts.offer(server('kept', 100), 'store')
      facts.markComplete('server', revision, revision)
    }
    const listings = (): unknown[] => beats.flatMap(beat => beat.listings ?? [])
    const linkTo = (complete: number, delayMs = 0): FactLink => {
      const link = new FactLink(facts, local, delayMs, silentLog)
      link.start()
      link.updateComplete({ table: 0, server: complete, version: 0 })
      return link
    }
    let beats: Array<FrameOf<'heartbeat'>>

    beforeEach(async () => {
      await time.settle()
      beats = []
      local.beat = listings => { beats.push({ type: 'heartbeat', revision: Revision.parse(0), ...(listings === undefined ? {} : { listings }) }) }
    })

    it('sends the list to a dependent peer that has read less, which keeps a removed server otherwise', () => {
      linkTo(150)
      read(200)
      expect(listings()).to.deep.equal([{ kind: 'server', revision: 200, keys: ['kept'] }])
    })

    it('sends it to a peer that becomes dependent', () => {
      const link = linkTo(150, 1500)
      read(200)
      expect(listings()).to.deep.equal([])
      link.setDelay(0)
      expect(listings()).to.deep.equal([{ kind: 'server', revision: 200, keys: ['kept'] }])
    })

    it('sends no list to a peer that has read as much, nor for changes that it watched itself', () => {
      linkTo(200)
      read(200)
      facts.markComplete('server', 300, 200)
      expect(listings()).to.deep.equal([])
    })

    it('sends it to a peer that has read nothing since the tombstones expired', async () => {
      facts.offer(server('removed', 90), 'store')
      read(100)
      facts.offer({ kind: 'server', key: 'removed', revision: 90.5, value: undefined, seenAt: 120 }, 'store')
      facts.markComplete('server', 120, 100)
      linkTo(110)
      beats = []
      await time.advance(61_000)
      facts.offer(server('other', 130), 'store')
      facts.offer({ kind: 'server', key: 'other', revision: 130.5, value: undefined, seenAt: 140 }, 'store')
      facts.markComplete('server', 140, 100)
      expect(listings()).to.deep.equal([{ kind: 'server', revision: 140, keys: ['kept'] }])
    })

    describe('the peer', () => {
      const listing: Listing = { kind: 'server', revision: 200, keys: ['kept'] }

      it('removes what the list lacks, but nothing that changed later', () => {
        for (const fact of [server('kept', 100), server('removed', 110), server('later', 210)]) facts.offer(fact, 'store')
        facts.applyListing(listing, 'peer')
        expect([...facts.servers.keys()].filter(key => !facts.isFallback(key))).to.deep.equal(['kept', 'later'])
      })

      it('dates the removal by the list, so that it reaches processes that know a later revision of the server', () => {
        // A removal dated by the older revision was ignored there, and the later one had nothing new for who would have passed it on.
        facts.offer(server('removed', 110), 'store')
        facts.applyListing(listing, 'peer')
        expect(facts.revisionOf('server', 'removed')).to.equal(200)
        expect(facts.offer(server('removed', 210), 'store')).to.equal(true)
      })

      it('ignores a list that is no newer than what it has read itself', () => {
        facts.offer(server('known', 110), 'store')
        facts.markComplete('server', 220, 220)
        facts.applyListing(listing, 'peer')
        expect(facts.isFallback('known')).to.equal(false)
      })
    })
  })

  it('sends pending facts immediately once the peer loses its other source', async () => {
    await time.settle()
    const link = new FactLink(facts, local, 1500, silentLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.settle()
    link.setDelay(0)
    facts.offer(fact(4), 'store')
    await time.settle()
    expect(received).to.deep.equal([3, 4])
  })

  it('sends everything once to a peer that loses its other source before the delay ends, however much it is', async () => {
    const many = 10_000
    await time.settle()
    for (let each = 0; each < many; each++) facts.offer({ kind: 'version', key: `m/a${each}`, revision: each + 1, value: { model: 'm', adapter: `a${each}`, version: 1 } }, 'store')
    const link = new FactLink(facts, local, 1500, silentLog)
    link.start()
    await time.advance(100)
    link.setDelay(0)
    await time.advance(3000)
    expect(received).to.have.length(many)
  })

  it('sends only the newest revision of what the peer still lacks after the delay', async () => {
    await time.settle()
    const link = new FactLink(facts, local, 1500, silentLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.advance(200)
    facts.offer(fact(4), 'store')
    await time.advance(2000)
    expect(received).to.deep.equal([4])
  })
})
