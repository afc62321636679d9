import { EventCutter } from '@finchpitch/fleet'
import { expect } from 'chai'

const bytes = Buffer.from('id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n')

describe('event cutter', () => {
  it('gives the same events for every cut of the bytes, and never a part of one', () => {
    for (let cut = 0; cut <= bytes.length; cut++) {
      const cutter = new EventCutter()
      const first = cutter.push(bytes.subarray(0, cut))
      expect(first.length === 0 || first.toString().endsWith('\n\n')).to.equal(true)
      const second = cutter.push(bytes.subarray(cut))
      expect(Buffer.concat([first, second]).toString()).to.equal(bytes.toString())
      expect(cutter.lastId).to.equal('3')
      expect(cutter.rest).to.have.length(0)
    }
  })

  it('forgets a part of an event before the stream goes on elsewhere', () => {
    const cutter = new EventCutter()
    cutter.push(bytes.subarray(0, 25))
    expect(cutter.lastId).to.equal('1')
    cutter.drop()
    expect(cutter.push(bytes.subarray(17)).toString()).to.equal(bytes.subarray(17).toString())
  })
})
