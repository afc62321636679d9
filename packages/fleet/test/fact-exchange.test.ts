import { Duplex } from 'node:stream'
import { Address, FailureDomain, ProcessId, Revision, newIncarnation, quietLog } from '@finchpitch/core'
import { FactLink, Facts, type Fact } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { Channel, protocolVersion, type Complete } from '@finchpitch/wire'
import { expect } from 'chai'

const fact = (revision: number): Fact => ({ kind: 'version', key: 'm/a', revision, value: { model: 'm', adapter: 'a', version: revision } })
const complete = (version: number): Complete => ({ table: 0, server: 0, version })

/** Two ends of one connection in memory. */
const pair = (): [Duplex, Duplex] => {
  const make = (other: () => Duplex): Duplex => new Duplex({
    read () {},
    write (piece, _encoding, done) {
      other().push(piece)
      done()
    }
  })
  const near: Duplex = make(() => far)
  const far: Duplex = make(() => near)
  return [near, far]
}

const channelOf = (stream: Duplex, name: string): Channel => {
  const hello = { type: 'hello', protocol: protocolVersion, process: ProcessId.parse(name), incarnation: newIncarnation(), address: Address.parse('10.0.0.1:1'), domain: FailureDomain.parse('a'), revision: Revision.parse(0) } as const
  return new Channel(stream, { hello: () => hello, heartbeat: () => ({ type: 'heartbeat', revision: Revision.parse(0) }) })
}

describe('a fact link', () => {
  let time: FakeTime
  let facts: Facts
  let near: Channel
  let far: Channel
  let received: number[]

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1000)
    received = []
    const [one, other] = pair()
    near = channelOf(one, 'near')
    far = channelOf(other, 'far')
    void (async () => { for await (const frame of near.frames()) void frame })()
    void (async () => { for await (const frame of far.frames()) if (frame.type === 'fact') received.push(frame.revision) })()
  })

  afterEach(() => {
    near.close()
    far.close()
    time.restore()
  })

  it('sends what changes, at once to a peer without another source', async () => {
    await time.settle()
    const link = new FactLink(facts, near, 0, quietLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.settle()
    expect(received).to.deep.equal([3])
  })

  it('sends nothing that the peer says it has by then', async () => {
    await time.settle()
    const link = new FactLink(facts, near, 1500, quietLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.pass(1000)
    link.heard(complete(3))
    await time.pass(1000)
    expect(received).to.deep.equal([])
  })

  it('sends what the peer still lacks after a while, the newest only', async () => {
    await time.settle()
    const link = new FactLink(facts, near, 1500, quietLog)
    link.start()
    facts.offer(fact(3), 'store')
    await time.pass(200)
    facts.offer(fact(4), 'store')
    await time.pass(2000)
    expect(received).to.deep.equal([4])
  })
})
