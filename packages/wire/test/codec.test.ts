import { FrameDecoder, encodeFrame, maxFrameBytes, type Frame } from '@finchpitch/wire'
import { Revision } from '@finchpitch/core'
import { expect } from 'chai'
import fc from 'fast-check'

const frameArrays = fc.array(fc.oneof(
  fc.record({ type: fc.constant('chunk' as const), id: fc.nat(), sequence: fc.nat(), data: fc.uint8Array({ maxLength: 300 }) }),
  fc.record({ type: fc.constant('cancel' as const), id: fc.nat() }),
  fc.record({ type: fc.constant('heartbeat' as const), revision: fc.nat().map(n => Revision.parse(n)) })
), { maxLength: 8 })

const comparable = (frame: Frame): unknown => frame.type === 'chunk' ? { ...frame, data: [...frame.data] } : frame

describe('codec', () => {
  it('decodes what was encoded, however the stream is split into chunks', () => {
    fc.assert(fc.property(frameArrays, fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), (sent, chunkSizes) => {
      const bytes = Buffer.concat(sent.map(encodeFrame))
      const decoder = new FrameDecoder()
      const received: Frame[] = []
      for (let offset = 0, turn = 0; offset < bytes.length; turn++) {
        const size = chunkSizes[turn % chunkSizes.length] ?? 1
        received.push(...decoder.read(bytes.subarray(offset, offset + size))._unsafeUnwrap())
        offset += size
      }
      expect(received.map(comparable)).to.deep.equal(sent.map(comparable))
      expect(decoder.held).to.equal(0)
    }), { seed: 1, numRuns: 200 })
  })

  it('reports an error instead of throwing for arbitrary bytes', () => {
    fc.assert(fc.property(fc.uint8Array({ minLength: 4, maxLength: 200 }), bytes => {
      const result = new FrameDecoder().read(bytes)
      expect(result.isOk() || result.error.code.startsWith('frame_')).to.equal(true)
    }), { seed: 2, numRuns: 500 })
  })

  it('rejects a frame above the size limit from its length prefix alone', () => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(maxFrameBytes + 1)
    expect(new FrameDecoder().read(length)._unsafeUnwrapErr().code).to.equal('frame_too_large')
  })

  it('reports the offset and the field of a frame that does not match the schema', () => {
    const good = encodeFrame({ type: 'cancel', id: 1 })
    const bad = encodeFrame({ type: 'cancel', id: -1 } as Frame)
    const error = new FrameDecoder().read(Buffer.concat([good, bad]))._unsafeUnwrapErr()
    expect(error.code).to.equal('frame_not_valid')
    expect(error.path).to.match(new RegExp(`^byte ${good.length}, id`))
  })
})
