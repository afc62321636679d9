import { AdvertisedLimits } from '@finchpitch/decisions'
import { expect } from 'chai'

const server = 'engine-1'
const limit = (perSecond: number, sentAt: number, heardAt: number): Parameters<AdvertisedLimits['note']>[0] => ({ server, perSecond, sentAt, heardAt })

describe('limits stated by servers', () => {
  let ledger: AdvertisedLimits
  beforeEach(() => { ledger = new AdvertisedLimits() })

  it('are empty at first, and keep no record of a server that states none', () => {
    expect(ledger.note(limit(Infinity, 0, 5))).to.equal(false)
    expect([ledger.perSecond(server), ledger.size]).to.deep.equal([Infinity, 0])
  })

  it('apply at once when new or lower, even from the response to an older request', () => {
    expect(ledger.note(limit(5, 10, 20))).to.equal(true)
    expect(ledger.note(limit(2, 5, 30))).to.equal(true)
    expect(ledger.perSecond(server)).to.equal(2)
  })

  it('report no change when the same limit is stated again', () => {
    ledger.note(limit(5, 10, 20))
    expect(ledger.note(limit(5, 15, 25))).to.equal(false)
  })

  for (const [what, value] of [['a higher limit', 9], ['no limit', Infinity]] as const) {
    it(`accept ${what} from a request that was sent after the lower limit had arrived`, () => {
      ledger.note(limit(5, 10, 20))
      expect(ledger.note(limit(value, 20, 30))).to.equal(true)
      expect(ledger.perSecond(server)).to.equal(value)
    })

    it(`do not accept ${what} from a request that was sent before the lower limit arrived`, () => {
      ledger.note(limit(5, 10, 20))
      expect(ledger.note(limit(value, 19, 30))).to.equal(false)
      expect(ledger.perSecond(server)).to.equal(5)
    })

    it(`do not accept ${what} if the lower limit was stated again since the request was sent`, () => {
      ledger.note(limit(5, 10, 20))
      ledger.note(limit(5, 30, 40))
      expect(ledger.note(limit(value, 25, 50))).to.equal(false)
    })
  }

  it('do not accept a lower limit that arrived before the request was sent whose response removed it', () => {
    ledger.note(limit(5, 10, 20))
    ledger.note(limit(Infinity, 30, 40))
    expect(ledger.note(limit(5, 10, 29))).to.equal(false)
    expect(ledger.note(limit(5, 10, 31))).to.equal(true)
  })

  it('list only those in effect, and expire when not stated again', () => {
    ledger.note(limit(5, 10, 20))
    ledger.note({ ...limit(3, 10, 20), server: 'engine-2' })
    ledger.note({ ...limit(Infinity, 30, 40), server: 'engine-2' })
    expect(ledger.limits().map(each => each.server)).to.deep.equal([server])
    ledger.expire(600_021)
    expect(ledger.perSecond(server)).to.equal(Infinity)
  })

  it('are kept for a bounded number of servers, those with the latest statements', () => {
    for (let each = 0; each < 7000; each++) ledger.note({ ...limit(5, each, each), server: `engine-${each}` })
    expect(ledger.size).to.equal(6000)
    expect([ledger.perSecond('engine-999'), ledger.perSecond('engine-1000')]).to.deep.equal([Infinity, 5])
  })
})
