import { BookingSchedule, TokenLine, bookingLimitMs, claimRankOf, claimRanks, demandReserve, type Booking, type ClaimRank, type TokenClaim } from '@finchpitch/decisions'
import { expect } from 'chai'

const claim = (tokens: number, rank: ClaimRank = claimRanks.first): TokenClaim => ({ tokens, rank, turnBy: 100, servedBy: 200 })

describe('a line for quota tokens', () => {
  const serve = (line: TokenLine<TokenClaim>, tokens: number): number[] => {
    const served: number[] = []
    let left = tokens
    line.serve(each => {
      if (each.tokens > left) return false
      left -= each.tokens
      served.push(each.tokens)
      return true
    })
    return served
  }

  it('serves returning callers first and late ones last, and lets no small request pass a large one', () => {
    const line = new TokenLine<TokenClaim>()
    for (const each of [claim(50, claimRanks.late), claim(900), claim(200), claim(300, claimRanks.returning)]) line.add(each)
    expect(serve(line, 1100)).to.deep.equal([300])
    expect(line.tokens).to.equal(1150)
    expect(serve(line, 1150)).to.deep.equal([900, 200, 50])
    expect(line.isEmpty).to.equal(true)
  })

  it('removes what can\'t be served in time, by the tokens ahead and not by its size', () => {
    const line = new TokenLine<TokenClaim>()
    for (const each of [claim(1000), claim(1900), claim(10)]) line.add(each)
    expect(line.removeLate(0, 0, { turn: 10_000, own: Infinity }).map(({ tokens }) => tokens)).to.deep.equal([10])
    expect(line.removeLate(0, 0, { turn: 10_000, own: 10_000 }).map(({ tokens }) => tokens)).to.deep.equal([1900])
    expect(line.removeLate(200, 0, { turn: Infinity, own: Infinity })).to.have.length(1)
  })
})

describe('the rank of a caller', () => {
  it('is first for returning callers that can still be in time, and last for those that were told a longer time than they could wait', () => {
    const rankAt = (firstTriedMs: number): ClaimRank => claimRankOf({ firstTriedMs, remainingMs: 1000 - firstTriedMs, objectiveMs: 500 })
    expect([0, 200, 330, 400].map(rankAt)).to.deep.equal([claimRanks.first, claimRanks.returning, claimRanks.late, claimRanks.late])
  })
})

describe('bookings of rejected requests', () => {
  let schedule: BookingSchedule
  const book = (tokens: number, lineTokens = 0): Booking => schedule.book({ tokens, lineTokens, perSecond: 1000, maxMs: 300, longestMs: 1000 }, 0)

  beforeEach(() => { schedule = new BookingSchedule() })

  it('follow the line and each other, so that callers return one after the other', () => {
    expect(book(100, 50)).to.deep.equal({ readyInMs: 150, booked: true })
    expect(book(100)).to.deep.equal({ readyInMs: 250, booked: true })
    expect(schedule.tokens).to.equal(200)
    expect(schedule.takeDue(200)).to.equal(100)
    expect(schedule.takeDue(250)).to.equal(100)
    expect(schedule.tokens).to.equal(0)
  })

  it('are made while the start is soon enough, whatever the size; later callers are told the time after all that were told one', () => {
    expect(book(250).booked).to.equal(true)
    expect(book(1900)).to.deep.equal({ readyInMs: 300, booked: true })
    expect(book(10)).to.deep.equal({ readyInMs: 2160, booked: false })
    expect(book(100)).to.deep.equal({ readyInMs: 2260, booked: false })
    expect(schedule.tokens).to.equal(2150)
  })

  it('are not made for callers that would be late on their return or don\'t return again; these are told more than they can wait', () => {
    const caller = { firstTriedMs: 0, remainingMs: 1000, objectiveMs: 506 }
    expect(bookingLimitMs(caller, 120)).to.equal(120)
    for (const each of [{ ...caller, objectiveMs: 199 }, { ...caller, firstTriedMs: 200 }]) {
      expect(schedule.book({ tokens: 10, lineTokens: 0, perSecond: 1000, maxMs: bookingLimitMs(each, 120), longestMs: 333 }, 0)).to.deep.equal({ readyInMs: 333 * 1.1, booked: false })
    }
    expect(schedule.tokens).to.equal(0)
  })
})

describe('the reserve for the demand at an entry', () => {
  it('never exceeds the entry\'s part of the quota by demand', () => {
    expect(demandReserve(1000, { here: 400, total: undefined })).to.equal(200)
    expect(demandReserve(1000, { here: 5000, total: undefined })).to.equal(500)
    expect(demandReserve(1000, { here: 5000, total: 20_000 })).to.equal(125)
  })
})
