import { ReadProgress, bodyWaitMs, keptBytesLimit, readStallMs, readableBodies } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('a slow reader', () => {
  // A limit on the time or the rate of a whole response would cut callers that are slow but still want it.
  it('has not stalled if it reads a byte now and then, however long the response takes', () => {
    const progress = new ReadProgress(0, 0)
    for (let step = 1; step < 100; step++) {
      const now = step * (readStallMs - 1)
      progress.update(step, true, now)
      expect(progress.isStalled(now)).to.equal(false)
    }
  })

  it('has stalled once it has read nothing for 5 s, and not before', () => {
    const progress = new ReadProgress(7, 1000)
    progress.update(8, true, 2000)
    progress.update(8, true, 6999)
    expect(progress.isStalled(6999)).to.equal(false)
    expect(progress.isStalled(7000)).to.equal(true)
  })

  it('does not stall while it has nothing to read', () => {
    const progress = new ReadProgress(7, 0)
    progress.update(7, false, 9000)
    expect(progress.isStalled(9000)).to.equal(false)
  })
})

describe('bytes kept', () => {
  it('are limited to a quarter of the memory limit, or 64 MB without one', () => {
    expect(keptBytesLimit(400)).to.equal(100 * 1024 * 1024)
    expect(keptBytesLimit(undefined)).to.equal(64 * 1024 * 1024)
  })

  it('let a request wait for a tenth of its time', () => {
    expect(bodyWaitMs(5000)).to.equal(500)
    expect(bodyWaitMs(-1)).to.equal(0)
  })

  // Reading all that wait at the first free byte would exceed the limit by all of them.
  it('let only so many bodies be read as there is room for, in order of arrival', () => {
    expect(readableBodies([30, 30, 30], 40, 100)).to.equal(2)
    expect(readableBodies([30, 80, 10], 40, 100)).to.equal(1)
    expect(readableBodies([30], 100, 100)).to.equal(0)
  })

  it('let a body that is larger than the limit be read alone', () => {
    expect(readableBodies([300, 1], 90, 100)).to.equal(1)
  })
})
