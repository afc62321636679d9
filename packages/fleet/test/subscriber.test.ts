import { EngineUpdate, Subscriber, type EngineSnapshot } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { FrameDecoder, type Frame } from '@finchpitch/wire'
import { expect } from 'chai'

const engineHost = '10.0.0.1'
const remoteHost = '10.0.0.9'

describe('updates that a side process sends to a peer', () => {
  let time: FakeTime
  let sent: Frame[]
  let heartbeats: number
  let relayed: Map<string, EngineUpdate>

  const update = (more: Partial<EngineSnapshot> = {}): EngineUpdate => new EngineUpdate({
    host: engineHost, changes: 0, held: new Map(), coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unread: 0, entries: 1, strangers: 0, ...more
  })

  const subscriberOf = (isLocal: boolean): Subscriber => {
    const decoder = new FrameDecoder()
    const channel = {
      send: (frame: Frame) => { sent.push(frame) },
      sendEncoded: (frames: Buffer[]) => { for (const frame of frames) sent.push(...decoder.read(frame)._unsafeUnwrap()) },
      beat: () => { heartbeats += 1 }
    }
    return new Subscriber({ channel: channel as never, isLocal, engineHost })
  }

  beforeEach(() => {
    time = new FakeTime()
    sent = []
    heartbeats = 0
    relayed = new Map()
  })

  afterEach(() => time.restore())

  describe('that subscribes to its engine from another failure domain', () => {
    let subscriber: Subscriber

    beforeEach(() => {
      subscriber = subscriberOf(false)
      subscriber.setSubscriptions([engineHost])
      subscriber.publish(update(), relayed)
    })

    it('start with the full state', () => {
      expect(sent).to.have.length(1)
      expect(sent[0]).to.include({ type: 'holding', host: engineHost, whole: true })
    })

    it('are not sent while nothing changes, except as a keep-alive', async () => {
      await time.advance(1000)
      subscriber.publish(update(), relayed)
      expect(sent).to.have.length(1)
      await time.advance(600)
      subscriber.publish(update(), relayed)
      expect(sent).to.have.length(2)
    })

    it('are sent at once after a demand, as a sign of life', () => {
      subscriber.publish(update(), relayed)
      subscriber.recordDemand('m/a')
      subscriber.publish(update(), relayed)
      subscriber.publish(update(), relayed)
      expect(sent).to.have.length(2)
    })

    // Guards against entries that demand adapters of an engine without room for as long as updates of the load are held back.
    it('are sent at once when the engine has room no longer, or again', () => {
      for (const room of [1, 0, 0, 2]) subscriber.publish(update({ room }), relayed)
      expect(sent.map(frame => (frame as { room?: number }).room)).to.deep.equal([undefined, 0, 2])
    })

    it('include the prompt tokens not prefilled yet once they differ by enough to matter', async () => {
      await time.advance(300)
      subscriber.publish(update({ unread: 1500 }), relayed)
      expect(sent).to.have.length(1)
      subscriber.publish(update({ unread: 2500 }), relayed)
      expect(sent.at(-1)).to.include({ unread: 2500 })
    })

    it('contain only the fields that differ', async () => {
      await time.advance(300)
      subscriber.publish(update({ running: 4 }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, running: 4 })
      await time.advance(300)
      subscriber.publish(update({ running: 4, server: undefined, changes: 1, held: new Map([['m/a', 2]]) }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, server: null, came: { 'm/a': 2 } })
      await time.advance(300)
      subscriber.publish(update({ running: 4, lost: true, changes: 1, held: new Map([['m/a', 2]]) }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, server: 's', lost: true })
      await time.advance(300)
      subscriber.publish(update({ running: 4, changes: 1, held: new Map([['m/a', 2]]) }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, lost: false })
    })

    it('contain the load when it changed by a few requests, and smaller changes with the keep-alive', async () => {
      await time.advance(300)
      subscriber.publish(update({ running: 2 }), relayed)
      expect(sent).to.have.length(1)
      subscriber.publish(update({ running: 2, waiting: 1 }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, running: 2, waiting: 1 })
      await time.advance(300)
      subscriber.publish(update({ running: 1, waiting: 1 }), relayed)
      expect(sent).to.have.length(2)
      await time.advance(1300)
      subscriber.publish(update({ running: 1, waiting: 1 }), relayed)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: engineHost, running: 1 })
    })

    it('contain the number of entries as soon as it changes', async () => {
      await time.advance(50)
      subscriber.publish(update({ entries: 2 }), relayed)
      expect(sent.at(-1)).to.include({ entries: 2 })
    })

    it('contain only the keys added and removed since the last one', async () => {
      await time.advance(50)
      const first = update({ changes: 1, held: new Map([['m/a', 1], ['m/b', 1]]) })
      subscriber.publish(first, relayed)
      await time.advance(50)
      subscriber.publish(update({ changes: 2, held: new Map([['m/b', 2]]) }), relayed)
      expect(sent.slice(1).map(frame => [(frame as { came?: unknown }).came, (frame as { went?: unknown }).went])).to.deep.equal([
        [{ 'm/a': 1, 'm/b': 1 }, undefined], [{ 'm/b': 2 }, ['m/a']]
      ])
    })
  })

  describe('that subscribes to nothing', () => {
    it('are not sent, but a heartbeat follows at once after a demand', () => {
      const subscriber = subscriberOf(false)
      subscriber.publish(update(), relayed)
      expect([sent.length, heartbeats]).to.deep.equal([0, 0])
      subscriber.recordDemand('m/a')
      subscriber.publish(update(), relayed)
      expect([sent.length, heartbeats]).to.deep.equal([0, 1])
    })

    it('are replaced by one notification when the demanded key is loaded', () => {
      const subscriber = subscriberOf(false)
      subscriber.recordDemand('m/a')
      subscriber.publish(update(), relayed)
      const held = update({ changes: 1, held: new Map([['m/a', 4], ['m/b', 1]]) })
      subscriber.publish(held, relayed)
      subscriber.publish(held, relayed)
      expect(sent).to.deep.equal([{ type: 'arrived', key: 'm/a', version: 4 }])
    })

    it('are replaced by a refusal of the demanded key, and of no other', () => {
      const subscriber = subscriberOf(false)
      subscriber.recordDemand('m/a')
      subscriber.decline('m/b', 'no_place')
      subscriber.decline('m/a', 'no_place')
      expect(sent).to.deep.equal([{ type: 'declined', key: 'm/a', reason: 'no_place' }])
    })
  })

  describe('that depends on it for store data', () => {
    it('report up to which revision it has everything, and repeat that only when it was confirmed again', () => {
      const subscriber = subscriberOf(true)
      const complete = { table: 1, server: 2, version: 3 }
      subscriber.sendComplete(complete, 0)
      expect(sent).to.have.length(0)
      subscriber.setDependent(true)
      subscriber.sendComplete(complete, 1000)
      subscriber.sendComplete(complete, 1500)
      expect(sent).to.deep.equal([{ type: 'caught_up', complete }])
      subscriber.sendComplete(complete, 2000)
      subscriber.sendComplete(complete, 2000)
      expect(sent).to.have.length(2)
      subscriber.sendComplete({ ...complete, server: 4 }, 2000)
      expect(sent.at(-1)).to.deep.equal({ type: 'caught_up', complete: { ...complete, server: 4 } })
    })
  })

  describe('in its own failure domain that subscribes to a remote engine', () => {
    it('relay the state of that engine, batched', async () => {
      const subscriber = subscriberOf(true)
      subscriber.setSubscriptions([remoteHost])
      subscriber.publish(update(), relayed)
      expect(sent).to.have.length(0)
      relayed.set(remoteHost, update({ host: remoteHost, running: 3 }))
      subscriber.publish(update(), relayed)
      for (const running of [6, 7]) {
        await time.advance(50)
        relayed.set(remoteHost, update({ host: remoteHost, running }))
        subscriber.publish(update(), relayed)
      }
      await time.advance(310)
      subscriber.publish(update(), relayed)
      expect(sent.map(frame => [(frame as { host?: string }).host, (frame as { running?: number }).running])).to.deep.equal([[remoteHost, 3], [remoteHost, 7]])
    })

    it('are sent together with others that are due, unless one was sent a moment ago', async () => {
      const subscriber = subscriberOf(true)
      const hostsSince = (count: number): Array<string | undefined> => sent.slice(count).map(frame => (frame as { host?: string }).host)
      subscriber.setSubscriptions([engineHost, remoteHost])
      relayed.set(remoteHost, update({ host: remoteHost, running: 3 }))
      subscriber.publish(update(), relayed)
      relayed.set(remoteHost, update({ host: remoteHost, running: 4 }))
      await time.advance(10)
      subscriber.publish(update({ changes: 1, held: new Map([['m/a', 1]]) }), relayed)
      expect(hostsSince(2)).to.deep.equal([engineHost])
      await time.advance(200)
      subscriber.publish(update({ changes: 2, held: new Map([['m/b', 1]]) }), relayed)
      expect(hostsSince(3)).to.deep.equal([engineHost, remoteHost])
    })

    it('are sent for load changes of a tenth of the batch, if that exceeds the fixed minimum', async () => {
      const subscriber = subscriberOf(true)
      subscriber.setSubscriptions([engineHost])
      subscriber.publish(update({ batchSize: 48 }), relayed)
      await time.advance(250)
      subscriber.publish(update({ batchSize: 48, running: 4 }), relayed)
      expect(sent).to.have.length(1)
      subscriber.publish(update({ batchSize: 48, running: 5 }), relayed)
      expect(sent).to.have.length(2)
      await time.advance(250)
      subscriber.publish(update({ batchSize: 12, running: 7 }), relayed)
      expect(sent).to.have.length(3)
    })

    it('start with the full state again for a peer that subscribes again', () => {
      const subscriber = subscriberOf(true)
      relayed.set(remoteHost, update({ host: remoteHost, held: new Map([['m/a', 1]]) }))
      subscriber.setSubscriptions([remoteHost])
      subscriber.publish(update(), relayed)
      subscriber.setSubscriptions([])
      subscriber.setSubscriptions([remoteHost])
      subscriber.publish(update(), relayed)
      expect(sent.at(-1)).to.deep.include({ whole: true, came: { 'm/a': 1 } })
    })
  })

  it('are encoded once for subscribers with the same last state', () => {
    const before = update()
    const after = update({ running: 5 })
    expect(after.encodeSince(before)).to.equal(after.encodeSince(before))
    expect(after.encodeSince(undefined)).to.equal(after.encodeSince(undefined))
  })
})
