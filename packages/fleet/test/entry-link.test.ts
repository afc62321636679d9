import { EntryLink, type EngineNews } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { Frame } from '@finchpitch/wire'
import { expect } from 'chai'

describe('what a side process tells an entry', () => {
  let time: FakeTime
  let sent: Frame[]
  let link: EntryLink

  const news = (more: Partial<EngineNews> = {}): EngineNews => ({
    changes: 0, held: {}, coming: [], warm: () => [], reachable: true, server: 's', waiting: 0, running: 0, unreadOfOthers: () => 0, entries: 1, fence: 1, ...more
  })

  beforeEach(() => {
    time = new FakeTime()
    sent = []
    const channel = { peer: { process: 'entry', domain: 'b' }, send: (frame: Frame) => { sent.push(frame) } }
    link = new EntryLink(channel as never, {} as never, false)
    link.publish(news())
  })

  afterEach(() => time.restore())

  it('is nothing while nothing changes, until it has to show that it lives', async () => {
    await time.pass(1000)
    link.publish(news())
    expect(sent).to.have.length(1)
    await time.pass(600)
    link.publish(news())
    expect(sent).to.have.length(2)
  })

  it('is a word at once when the entry has asked for something', () => {
    link.publish(news())
    link.owe()
    link.publish(news())
    link.publish(news())
    expect(sent).to.have.length(2)
  })

  it('is what others have the engine read, where that makes a difference', async () => {
    await time.pass(300)
    link.publish(news({ unreadOfOthers: () => 1500 }))
    expect(sent).to.have.length(1)
    link.publish(news({ unreadOfOthers: name => name === 'entry' ? 2500 : 0 }))
    expect(sent.at(-1)).to.include({ unread: 2500 })
  })
})
