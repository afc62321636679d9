import { FrameReader, encode, maxFrameBytes, type Frame } from '@finchpitch/wire'
import { Revision } from '@finchpitch/core'
import { expect } from 'chai'
import fc from 'fast-check'

const frames = fc.array(fc.oneof(
  fc.record({ type: fc.constant('chunk' as const), id: fc.nat(), sequence: fc.nat(), data: fc.uint8Array({ maxLength: 300 }) }),
  fc.record({ type: fc.constant('cancel' as const), id: fc.nat() }),
  fc.record({ type: fc.constant('heartbeat' as const), revision: fc.nat().map(n => Revision.parse(n)) })
), { maxLength: 8 })

const plain = (frame: Frame): unknown => frame.type === 'chunk' ? { ...frame, data: [...frame.data] } : frame

describe('codec', () => {
  it('gives back what was sent, however the bytes are cut', () => {
    fc.assert(fc.property(frames, fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), (sent, cuts) => {
      const bytes = Buffer.concat(sent.map(encode))
      const reader = new FrameReader()
      const got: Frame[] = []
      for (let at = 0, turn = 0; at < bytes.length; turn++) {
        const size = cuts[turn % cuts.length] ?? 1
        got.push(...reader.read(bytes.subarray(at, at + size))._unsafeUnwrap())
        at += size
      }
      expect(got.map(plain)).to.deep.equal(sent.map(plain))
      expect(reader.held).to.equal(0)
    }), { seed: 1, numRuns: 200 })
  })

  it('never throws on bytes that are no frames', () => {
    fc.assert(fc.property(fc.uint8Array({ minLength: 4, maxLength: 200 }), bytes => {
      const result = new FrameReader().read(bytes)
      expect(result.isOk() || result.error.code.startsWith('frame_')).to.equal(true)
    }), { seed: 2, numRuns: 500 })
  })

  it('refuses a frame over the limit from its length alone', () => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(maxFrameBytes + 1)
    expect(new FrameReader().read(length)._unsafeUnwrapErr().code).to.equal('frame_too_large')
  })

  it('names the byte and the field of a frame that does not fit', () => {
    const good = encode({ type: 'cancel', id: 1 })
    const bad = encode({ type: 'cancel', id: -1 } as Frame)
    const fault = new FrameReader().read(Buffer.concat([good, bad]))._unsafeUnwrapErr()
    expect(fault.code).to.equal('frame_not_valid')
    expect(fault.path).to.match(new RegExp(`^byte ${good.length}, id`))
  })
})
