import { admissibleBodies, isCollectionDue, mayRead, mayReadResponse, mayWait, smallBodyBytes } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('room for bodies', () => {
  const limit = 100 * smallBodyBytes
  const room = (kept: number, nearLimit = false): { kept: number, limit: number, nearLimit: boolean } => ({ kept, limit, nearLimit })

  // Large bodies that fill the whole limit would hold up those that need next to none.
  it('is left for small ones by large ones', () => {
    expect(mayRead(10 * smallBodyBytes, room(limit * 0.9), 0)).to.equal(false)
    expect(mayRead(smallBodyBytes, room(limit * 0.9), 1)).to.equal(true)
    expect(mayRead(smallBodyBytes, room(limit), 0)).to.equal(false)
  })

  it('is given to large ones in order of arrival', () => {
    expect(mayRead(10 * smallBodyBytes, room(0), 1)).to.equal(false)
    expect(mayRead(10 * smallBodyBytes, room(0), 0)).to.equal(true)
  })

  it('is given to one large body at a time near the memory limit', () => {
    const sizes = [10 * smallBodyBytes, 10 * smallBodyBytes]
    expect(admissibleBodies(sizes, room(0, true))).to.equal(1)
    expect(admissibleBodies(sizes, room(smallBodyBytes, true))).to.equal(0)
  })

  it('is waited for by no more than the limit has room for', () => {
    expect(mayWait(limit / 2, [limit / 2], limit)).to.equal(true)
    expect(mayWait(limit / 2, [limit / 2, limit / 2], limit)).to.equal(false)
  })

  it('is left by responses, of which the oldest goes on longest', () => {
    const full = { responses: limit, kept: limit, limit }
    expect(mayReadResponse(2 * smallBodyBytes, full, false)).to.equal(false)
    expect(mayReadResponse(2 * smallBodyBytes, full, true)).to.equal(true)
    expect(mayReadResponse(2 * smallBodyBytes, { ...full, kept: 2 * limit }, true)).to.equal(false)
    expect(mayReadResponse(smallBodyBytes, { ...full, kept: 2 * limit }, false)).to.equal(true)
  })

  it('is made by a collection once unused buffers take half the limit', () => {
    expect(isCollectionDue(limit / 2, limit)).to.equal(false)
    expect(isCollectionDue(limit / 2 + 1, limit)).to.equal(true)
  })
})
