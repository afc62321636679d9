import { EngineNews, Reader, type EngineSnapshot } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { FrameReader, type Frame } from '@finchpitch/wire'
import { expect } from 'chai'

const ownHost = '10.0.0.1'
const farHost = '10.0.0.9'

describe('what a side process tells a peer', () => {
  let time: FakeTime
  let sent: Frame[]
  let beats: number
  let passedOn: Map<string, EngineNews>

  const news = (more: Partial<EngineSnapshot> = {}): EngineNews => new EngineNews({
    host: ownHost, changes: 0, held: new Map(), coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unread: 0, entries: 1, strangers: 0, fence: 1, ...more
  })

  const linkOf = (near: boolean): Reader => {
    const reader = new FrameReader()
    const channel = {
      send: (frame: Frame) => { sent.push(frame) },
      sendEncoded: (frames: Buffer[]) => { for (const frame of frames) sent.push(...reader.read(frame)._unsafeUnwrap()) },
      beat: () => { beats += 1 }
    }
    return new Reader({ channel: channel as never, near, ownHost })
  }

  beforeEach(() => {
    time = new FakeTime()
    sent = []
    beats = 0
    passedOn = new Map()
  })

  afterEach(() => time.restore())

  describe('that follows its engine from another domain', () => {
    let link: Reader

    beforeEach(() => {
      link = linkOf(false)
      link.follow([ownHost])
      link.publish(news(), passedOn)
    })

    it('is all that it holds at first', () => {
      expect(sent).to.have.length(1)
      expect(sent[0]).to.include({ type: 'holding', host: ownHost, whole: true })
    })

    it('is nothing while nothing changes, until it has to show that it lives', async () => {
      await time.pass(1000)
      link.publish(news(), passedOn)
      expect(sent).to.have.length(1)
      await time.pass(600)
      link.publish(news(), passedOn)
      expect(sent).to.have.length(2)
    })

    it('is a word at once when the entry has asked for something', () => {
      link.publish(news(), passedOn)
      link.want('m/a')
      link.publish(news(), passedOn)
      link.publish(news(), passedOn)
      expect(sent).to.have.length(2)
    })

    it('is what entries have the engine read, where that makes a difference', async () => {
      await time.pass(300)
      link.publish(news({ unread: 1500 }), passedOn)
      expect(sent).to.have.length(1)
      link.publish(news({ unread: 2500 }), passedOn)
      expect(sent.at(-1)).to.include({ unread: 2500 })
    })

    it('is nothing but the differences', async () => {
      await time.pass(300)
      link.publish(news({ running: 4 }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, running: 4 })
      await time.pass(300)
      link.publish(news({ running: 4, server: undefined, changes: 1, held: new Map([['m/a', 2]]) }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, server: null, came: { 'm/a': 2 } })
      await time.pass(300)
      link.publish(news({ running: 4, lost: true, changes: 1, held: new Map([['m/a', 2]]) }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, server: 's', lost: true })
      await time.pass(300)
      link.publish(news({ running: 4, changes: 1, held: new Map([['m/a', 2]]) }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, lost: false })
    })

    it('is its load where that changed by a few requests, and what the load is now and then', async () => {
      await time.pass(300)
      link.publish(news({ running: 2 }), passedOn)
      expect(sent).to.have.length(1)
      link.publish(news({ running: 2, waiting: 1 }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, running: 2, waiting: 1 })
      await time.pass(300)
      link.publish(news({ running: 1, waiting: 1 }), passedOn)
      expect(sent).to.have.length(2)
      await time.pass(1300)
      link.publish(news({ running: 1, waiting: 1 }), passedOn)
      expect(sent.at(-1)).to.deep.equal({ type: 'holding', host: ownHost, running: 1 })
    })

    it('is how many entries there are as soon as that changes', async () => {
      await time.pass(50)
      link.publish(news({ entries: 2 }), passedOn)
      expect(sent.at(-1)).to.include({ entries: 2 })
    })

    it('is only what came and went since', async () => {
      await time.pass(50)
      const first = news({ changes: 1, held: new Map([['m/a', 1], ['m/b', 1]]) })
      link.publish(first, passedOn)
      await time.pass(50)
      link.publish(news({ changes: 2, held: new Map([['m/b', 2]]) }), passedOn)
      expect(sent.slice(1).map(frame => [(frame as { came?: unknown }).came, (frame as { went?: unknown }).went])).to.deep.equal([
        [{ 'm/a': 1, 'm/b': 1 }, undefined], [{ 'm/b': 2 }, ['m/a']]
      ])
    })
  })

  describe('that follows nothing', () => {
    it('is no news, and a heartbeat at once when it has asked for something', () => {
      const link = linkOf(false)
      link.publish(news(), passedOn)
      expect([sent.length, beats]).to.deep.equal([0, 0])
      link.want('m/a')
      link.publish(news(), passedOn)
      expect([sent.length, beats]).to.deep.equal([0, 1])
    })

    it('is the arrival of what it asked for, once', () => {
      const link = linkOf(false)
      link.want('m/a')
      link.publish(news(), passedOn)
      const held = news({ changes: 1, held: new Map([['m/a', 4], ['m/b', 1]]) })
      link.publish(held, passedOn)
      link.publish(held, passedOn)
      expect(sent).to.deep.equal([{ type: 'arrived', key: 'm/a', version: 4 }])
    })

    it('is a refusal of what it asked for, and of nothing else', () => {
      const link = linkOf(false)
      link.want('m/a')
      link.decline('m/b', 'no_place')
      link.decline('m/a', 'no_place')
      expect(sent).to.deep.equal([{ type: 'declined', key: 'm/a', reason: 'no_place' }])
    })
  })

  describe('that depends on it for the store\'s facts', () => {
    it('is how far it lacks nothing, again while that is confirmed though nothing changes, and not where it isn\'t', () => {
      const link = linkOf(true)
      const complete = { table: 1, server: 2, version: 3 }
      link.tellComplete(complete, 0)
      expect(sent).to.have.length(0)
      link.depend(true)
      link.tellComplete(complete, 1000)
      link.tellComplete(complete, 1500)
      expect(sent).to.deep.equal([{ type: 'caught_up', complete }])
      link.tellComplete(complete, 2000)
      link.tellComplete(complete, 2000)
      expect(sent).to.have.length(2)
      link.tellComplete({ ...complete, server: 4 }, 2000)
      expect(sent.at(-1)).to.deep.equal({ type: 'caught_up', complete: { ...complete, server: 4 } })
    })
  })

  describe('near that follows an engine elsewhere', () => {
    it('is what was told of that engine, gathered', async () => {
      const link = linkOf(true)
      link.follow([farHost])
      link.publish(news(), passedOn)
      expect(sent).to.have.length(0)
      passedOn.set(farHost, news({ host: farHost, running: 3 }))
      link.publish(news(), passedOn)
      for (const running of [6, 7]) {
        await time.pass(50)
        passedOn.set(farHost, news({ host: farHost, running }))
        link.publish(news(), passedOn)
      }
      await time.pass(310)
      link.publish(news(), passedOn)
      expect(sent.map(frame => [(frame as { host?: string }).host, (frame as { running?: number }).running])).to.deep.equal([[farHost, 3], [farHost, 7]])
    })

    it('goes with other news that are due, where it was not told a moment ago', async () => {
      const link = linkOf(true)
      const hostsSince = (count: number): Array<string | undefined> => sent.slice(count).map(frame => (frame as { host?: string }).host)
      link.follow([ownHost, farHost])
      passedOn.set(farHost, news({ host: farHost, running: 3 }))
      link.publish(news(), passedOn)
      passedOn.set(farHost, news({ host: farHost, running: 4 }))
      await time.pass(10)
      link.publish(news({ changes: 1, held: new Map([['m/a', 1]]) }), passedOn)
      expect(hostsSince(2)).to.deep.equal([ownHost])
      await time.pass(200)
      link.publish(news({ changes: 2, held: new Map([['m/b', 1]]) }), passedOn)
      expect(hostsSince(3)).to.deep.equal([ownHost, farHost])
    })

    it('counts a load as changed by a tenth of the batch, where that is more than the usual step', async () => {
      const link = linkOf(true)
      link.follow([ownHost])
      link.publish(news({ batchSize: 48 }), passedOn)
      await time.pass(250)
      link.publish(news({ batchSize: 48, running: 4 }), passedOn)
      expect(sent).to.have.length(1)
      link.publish(news({ batchSize: 48, running: 5 }), passedOn)
      expect(sent).to.have.length(2)
      await time.pass(250)
      link.publish(news({ batchSize: 12, running: 7 }), passedOn)
      expect(sent).to.have.length(3)
    })

    it('begins with all of it again for a reader that comes back', () => {
      const link = linkOf(true)
      passedOn.set(farHost, news({ host: farHost, held: new Map([['m/a', 1]]) }))
      link.follow([farHost])
      link.publish(news(), passedOn)
      link.follow([])
      link.follow([farHost])
      link.publish(news(), passedOn)
      expect(sent.at(-1)).to.deep.include({ whole: true, came: { 'm/a': 1 } })
    })
  })

  it('is encoded once for readers that know the same', () => {
    const before = news()
    const after = news({ running: 5 })
    expect(after.frameAfter(before)).to.equal(after.frameAfter(before))
    expect(after.frameAfter(undefined)).to.equal(after.frameAfter(undefined))
  })
})
