import { AdvertisedLimits } from '@finchpitch/decisions'
import { expect } from 'chai'

const server = 'engine-1'
const limit = (perSecond: number, sentAt: number, heardAt: number): Parameters<AdvertisedLimits['note']>[0] => ({ server, perSecond, sentAt, heardAt })

describe('limits stated by servers', () => {
  let advertised: AdvertisedLimits
  beforeEach(() => { advertised = new AdvertisedLimits() })

  it('are empty at first, and keep no record of a server that states none', () => {
    expect(advertised.note(limit(Infinity, 0, 5))).to.equal(false)
    expect([advertised.perSecond(server), advertised.size]).to.deep.equal([Infinity, 0])
  })

  it('apply at once when new or lower, even from the response to an older request', () => {
    expect(advertised.note(limit(5, 10, 20))).to.equal(true)
    expect(advertised.note(limit(2, 5, 30))).to.equal(true)
    expect(advertised.perSecond(server)).to.equal(2)
  })

  it('report no change when the same limit is stated again', () => {
    advertised.note(limit(5, 10, 20))
    expect(advertised.note(limit(5, 15, 25))).to.equal(false)
  })

  for (const [what, value] of [['a higher limit', 9], ['no limit', Infinity]] as const) {
    it(`accept ${what} from a request that was sent after the lower limit had arrived`, () => {
      advertised.note(limit(5, 10, 20))
      expect(advertised.note(limit(value, 20, 30))).to.equal(true)
      expect(advertised.perSecond(server)).to.equal(value)
    })

    it(`do not accept ${what} from a request that was sent before the lower limit arrived`, () => {
      advertised.note(limit(5, 10, 20))
      expect(advertised.note(limit(value, 19, 30))).to.equal(false)
      expect(advertised.perSecond(server)).to.equal(5)
    })

    it(`do not accept ${what} if the lower limit was stated again since the request was sent`, () => {
      advertised.note(limit(5, 10, 20))
      advertised.note(limit(5, 30, 40))
      expect(advertised.note(limit(value, 25, 50))).to.equal(false)
    })
  }

  it('do not accept a lower limit that arrived before the request was sent whose response removed it', () => {
    advertised.note(limit(5, 10, 20))
    advertised.note(limit(Infinity, 30, 40))
    expect(advertised.note(limit(5, 10, 29))).to.equal(false)
    expect(advertised.note(limit(5, 10, 31))).to.equal(true)
  })

  it('list only those in effect, and expire when not stated again', () => {
    advertised.note(limit(5, 10, 20))
    advertised.note({ ...limit(3, 10, 20), server: 'engine-2' })
    advertised.note({ ...limit(Infinity, 30, 40), server: 'engine-2' })
    expect(advertised.limits().map(each => each.server)).to.deep.equal([server])
    advertised.expire(600_021)
    expect(advertised.perSecond(server)).to.equal(Infinity)
  })

  it('are kept for a bounded number of servers, those with the latest statements', () => {
    for (let each = 0; each < 7000; each++) advertised.note({ ...limit(5, each, each), server: `engine-${each}` })
    expect(advertised.size).to.equal(6000)
    expect([advertised.perSecond('engine-999'), advertised.perSecond('engine-1000')]).to.deep.equal([Infinity, 5])
  })
})
