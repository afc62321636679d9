import { EventFramer } from '@finchpitch/fleet'
import { expect } from 'chai'

const bytes = Buffer.from('id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n')
const lineEnds = { LF: '\n', 'CR LF': '\r\n', CR: '\r' }

describe('event stream splitting', () => {
  // Streams whose lines end with CR LF or CR seemed to end within an event.
  for (const [name, lineEnd] of Object.entries(lineEnds)) {
    it(`returns the same complete events wherever the bytes are split (lines end with ${name})`, () => {
      const stream = Buffer.from(bytes.toString().replaceAll('\n', lineEnd))
      for (let split = 0; split <= stream.length; split++) {
        const framer = new EventFramer()
        const first = framer.push(stream.subarray(0, split))
        // The LF of the last CR LF may follow later.
        expect(first.length === 0 || first.toString().endsWith(lineEnd.repeat(2)) || first.toString().endsWith('\r\n\r')).to.equal(true)
        const second = framer.push(stream.subarray(split))
        expect(Buffer.concat([first, second]).toString()).to.equal(stream.toString())
        expect(framer.lastEventId).to.equal('3')
        expect(framer.boundary.partialBytes).to.equal(0)
      }
    })
  }

  it('reads the id after a byte order mark', () => {
    const framer = new EventFramer()
    framer.push(Buffer.from('\ufeffid: 7\ndata: one\n\n'))
    expect(framer.lastEventId).to.equal('7')
  })

  it('discards a partial event before the stream is resumed at another server', () => {
    const framer = new EventFramer()
    framer.push(bytes.subarray(0, 25))
    expect(framer.lastEventId).to.equal('1')
    framer.discardPartial()
    expect(framer.push(bytes.subarray(17)).toString()).to.equal(bytes.subarray(17).toString())
  })
})
