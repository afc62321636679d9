import { OutlierDetector, RetryWindow } from '@finchpitch/decisions'
import { expect } from 'chai'

const limits = { inRow: 3, share: 0.4, least: 8, firstMs: 100, limitMs: 1000 }

describe('outlier detection', () => {
  it('ejects a server after consecutive failures, for longer each time, and on probation after a single one', () => {
    const outlier = new OutlierDetector(limits)
    expect([outlier.recordFailure(0), outlier.recordFailure(0), outlier.recordFailure(0)]).to.deep.equal([false, false, true])
    expect(outlier.ejected(99)).to.equal(true)
    expect(outlier.ejected(100)).to.equal(false)
    expect(outlier.recordFailure(100)).to.equal(true)
    expect(outlier.ejected(299)).to.equal(true)
    expect(outlier.ejected(300)).to.equal(false)
  })

  it('ejects a server by its failure ratio when it never fails three times in a row', () => {
    const outlier = new OutlierDetector(limits)
    let ejected = false
    for (let each = 0; each < 40 && !ejected; each++) {
      if (each % 3 === 0) outlier.recordSuccess()
      else ejected = outlier.recordFailure(0)
    }
    expect(ejected).to.equal(true)
  })

  it('does not eject a server at the failure ratio of healthy servers', () => {
    const outlier = new OutlierDetector(limits)
    for (let each = 0; each < 400; each++) {
      if (each % 7 === 0) expect(outlier.recordFailure(0)).to.equal(false)
      else outlier.recordSuccess()
    }
  })
})

describe('retry window', () => {
  const share = { ratio: 0.2, windowMs: 10_000 }

  it('allows the ratio of first attempts in any window', () => {
    const window = new RetryWindow()
    for (let each = 0; each < 10; each++) window.recordFirstAttempt(0, share.windowMs)
    expect(window.credit(1, share)).to.equal(2)
    window.recordRetries(1.5, 1, share.windowMs)
    expect(window.credit(9000, share)).to.equal(0.5)
    window.recordRetries(-1, 9000, share.windowMs)
    expect(window.credit(9000, share)).to.equal(1.5)
    expect(window.credit(11_000, share)).to.equal(1)
  })
})
