import { EventFramer } from '@finchpitch/fleet'
import { expect } from 'chai'

const bytes = Buffer.from('id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n')

describe('event stream splitting', () => {
  it('returns the same complete events wherever the bytes are split', () => {
    for (let split = 0; split <= bytes.length; split++) {
      const framer = new EventFramer()
      const first = framer.push(bytes.subarray(0, split))
      expect(first.length === 0 || first.toString().endsWith('\n\n')).to.equal(true)
      const second = framer.push(bytes.subarray(split))
      expect(Buffer.concat([first, second]).toString()).to.equal(bytes.toString())
      expect(framer.lastEventId).to.equal('3')
      expect(framer.boundary.partialBytes).to.equal(0)
    }
  })

  it('discards a partial event before the stream is resumed at another server', () => {
    const framer = new EventFramer()
    framer.push(bytes.subarray(0, 25))
    expect(framer.lastEventId).to.equal('1')
    framer.discardPartial()
    expect(framer.push(bytes.subarray(17)).toString()).to.equal(bytes.subarray(17).toString())
  })
})
