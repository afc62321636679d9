import { PaceEstimate, comparePaces, isPaceChangeLogged, isPaceChangeSignificant, weightedRendezvousScore, rendezvousScore, hashOf } from '@finchpitch/decisions'
import { expect } from 'chai'

describe('the pace of an engine', () => {
  it('is known once enough was observed, follows changes within seconds, and is forgotten after that', () => {
    const estimate = new PaceEstimate()
    estimate.add([600, 18, 72, 400], 0)
    expect(estimate.at(0)).to.equal(undefined)
    for (let now = 0; now < 10_000; now += 100) estimate.add([650, 13, 72, 360], now)
    expect(estimate.at(10_000)?.prefillMs).to.be.closeTo(20, 0.1)
    expect(estimate.at(10_000)?.tokenMs).to.be.closeTo(5, 0.01)
    for (let now = 10_000; now < 16_000; now += 100) estimate.add([650, 26, 72, 720], now)
    expect(estimate.at(16_000)?.tokenMs).to.be.greaterThan(9)
    expect(estimate.at(40_000)).to.equal(undefined)
  })

  it('is published when it has changed by a tenth', () => {
    const pace = { prefillMs: 20, tokenMs: 5 }
    expect(isPaceChangeSignificant(undefined, pace)).to.equal(true)
    expect(isPaceChangeSignificant(pace, { prefillMs: 21.5, tokenMs: 5.4 })).to.equal(false)
    expect(isPaceChangeSignificant(pace, { prefillMs: 20, tokenMs: 5.6 })).to.equal(true)
  })

  it('is logged when it has changed by a quarter', () => {
    const pace = { prefillMs: 20, tokenMs: 5 }
    expect(isPaceChangeLogged(undefined, pace)).to.equal(true)
    expect(isPaceChangeLogged(pace, { prefillMs: 24, tokenMs: 4 })).to.equal(false)
    expect(isPaceChangeLogged(pace, { prefillMs: 14, tokenMs: 5 })).to.equal(true)
  })

  it('gives no engine a weight while all are about equally quick, and slow ones a low one otherwise', () => {
    const even = [{ prefillMs: 20, tokenMs: 5 }, { prefillMs: 22, tokenMs: 5.5 }]
    expect(comparePaces(even)).to.equal(undefined)
    expect(comparePaces([])).to.equal(undefined)
    const slow = { prefillMs: 60, tokenMs: 15 }
    const comparison = comparePaces([slow, { prefillMs: 20, tokenMs: 5 }, { prefillMs: 20, tokenMs: 5 }, { prefillMs: 20, tokenMs: 5 }])
    expect(comparison?.weightOf(slow)).to.be.closeTo(0.5, 0.01)
    expect(comparison?.weightOf({ prefillMs: 1e6, tokenMs: 1e6 })).to.be.greaterThan(0)
  })
})

describe('weighted rendezvous hashing', () => {
  it('selects candidates in proportion to their weights, and as without weights where these are 1', () => {
    const [slow, quick] = [hashOf('slow'), hashOf('quick')]
    let slowFirst = 0
    for (let key = 0; key < 5000; key++) {
      const hash = hashOf(`key-${key}`)
      if (weightedRendezvousScore(hash, slow, 0.5) < weightedRendezvousScore(hash, quick, 1)) slowFirst += 1
      expect(weightedRendezvousScore(hash, quick, 1)).to.equal(rendezvousScore(hash, quick))
    }
    expect(slowFirst / 5000).to.be.closeTo(1 / 3, 0.03)
  })
})
