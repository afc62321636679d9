import { ResponseError } from '@finchpitch/core'
import { ReceiveBuffer, SendWindow, windowBytes } from '@finchpitch/wire'
import { expect } from 'chai'

const chunk = (sequence: number, text: string): Parameters<ReceiveBuffer['addChunk']>[0] => ({ type: 'chunk', id: 1, sequence, data: Buffer.from(text) })
const load = { waiting: 0, running: 0, capacity: 1, epoch: 0, leaving: false }
const end = (chunks: number, bytes: number): Parameters<ReceiveBuffer['end']>[0] => ({ type: 'end', id: 1, chunks, bytes, load })

const readAll = async (buffer: ReceiveBuffer): Promise<string> => {
  let text = ''
  try {
    for await (const bytes of buffer.read()) text += Buffer.from(bytes).toString()
    return `${text}|whole`
  } catch (error) {
    return `${text}|${(error as ResponseError).failure.code}`
  }
}

describe('send window', () => {
  it('blocks the sender until credit is returned', async () => {
    const window = new SendWindow()
    expect(await window.consume(windowBytes)).to.equal(true)
    let granted = false
    const next = window.consume(1).then(() => { granted = true })
    await new Promise(resolve => setImmediate(resolve))
    expect(granted).to.equal(false)
    window.addCredit(1)
    await next
  })

  it('releases a waiting sender when it is closed', async () => {
    const window = new SendWindow()
    await window.consume(windowBytes)
    const next = window.consume(1)
    window.close()
    expect(await next).to.equal(false)
  })
})

describe('receive buffer', () => {
  it('yields chunks in order and returns credit for each', async () => {
    let returnedCredit = 0
    const buffer = new ReceiveBuffer(bytes => { returnedCredit += bytes })
    buffer.addChunk(chunk(0, 'ab'))
    buffer.addChunk(chunk(1, 'c'))
    buffer.end(end(2, 3))
    expect(await readAll(buffer)).to.equal('abc|whole')
    expect(returnedCredit).to.equal(3)
  })

  it('ignores a repeated chunk', async () => {
    const buffer = new ReceiveBuffer(() => {})
    buffer.addChunk(chunk(0, 'a'))
    buffer.addChunk(chunk(0, 'a'))
    buffer.end(end(1, 1))
    expect(await readAll(buffer)).to.equal('a|whole')
  })

  describe('with an incomplete response', () => {
    it('fails at a missing chunk', async () => {
      const buffer = new ReceiveBuffer(() => {})
      buffer.addChunk(chunk(0, 'a'))
      buffer.addChunk(chunk(2, 'c'))
      buffer.end(end(3, 3))
      expect(await readAll(buffer)).to.equal('a|answer_cut')
    })

    it('fails if the end frame counts more than was received', async () => {
      const buffer = new ReceiveBuffer(() => {})
      buffer.addChunk(chunk(0, 'a'))
      buffer.end(end(2, 2))
      expect(await readAll(buffer)).to.equal('a|answer_cut')
    })
  })
})
