import { AnswerFailure } from '@finchpitch/core'
import { Inbox, Window, windowBytes } from '@finchpitch/wire'
import { expect } from 'chai'

const chunk = (sequence: number, text: string): Parameters<Inbox['chunk']>[0] => ({ type: 'chunk', id: 1, sequence, data: Buffer.from(text) })
const load = { waiting: 0, running: 0, capacity: 1, epoch: 0, leaving: false }
const end = (chunks: number, bytes: number): Parameters<Inbox['end']>[0] => ({ type: 'end', id: 1, chunks, bytes, load })

const readAll = async (inbox: Inbox): Promise<string> => {
  let text = ''
  try {
    for await (const piece of inbox.read()) text += Buffer.from(piece).toString()
    return `${text}|whole`
  } catch (error) {
    return `${text}|${(error as AnswerFailure).failure.code}`
  }
}

describe('window', () => {
  it('holds a sender back until its reader has read', async () => {
    const window = new Window()
    expect(await window.take(windowBytes)).to.equal(true)
    let went = false
    const next = window.take(1).then(() => { went = true })
    await new Promise(resolve => setImmediate(resolve))
    expect(went).to.equal(false)
    window.give(1)
    await next
  })

  it('lets a sender go when it is closed', async () => {
    const window = new Window()
    await window.take(windowBytes)
    const next = window.take(1)
    window.close()
    expect(await next).to.equal(false)
  })
})

describe('inbox', () => {
  it('gives chunks in order and credit for each', async () => {
    let credit = 0
    const inbox = new Inbox(bytes => { credit += bytes })
    inbox.chunk(chunk(0, 'ab'))
    inbox.chunk(chunk(1, 'c'))
    inbox.end(end(2, 3))
    expect(await readAll(inbox)).to.equal('abc|whole')
    expect(credit).to.equal(3)
  })

  it('takes a repeated chunk once', async () => {
    const inbox = new Inbox(() => {})
    inbox.chunk(chunk(0, 'a'))
    inbox.chunk(chunk(0, 'a'))
    inbox.end(end(1, 1))
    expect(await readAll(inbox)).to.equal('a|whole')
  })

  describe('an answer that is not whole', () => {
    it('fails at a gap', async () => {
      const inbox = new Inbox(() => {})
      inbox.chunk(chunk(0, 'a'))
      inbox.chunk(chunk(2, 'c'))
      inbox.end(end(3, 3))
      expect(await readAll(inbox)).to.equal('a|answer_cut')
    })

    it('fails when the end counts more than came', async () => {
      const inbox = new Inbox(() => {})
      inbox.chunk(chunk(0, 'a'))
      inbox.end(end(2, 2))
      expect(await readAll(inbox)).to.equal('a|answer_cut')
    })
  })
})
