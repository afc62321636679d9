import { LimitLedger } from '@finchpitch/decisions'
import { expect } from 'chai'

const server = 'engine-1'
const word = (perSecond: number, sentAt: number, heardAt: number): Parameters<LimitLedger['note']>[0] => ({ server, perSecond, sentAt, heardAt })

describe('a ledger of limits', () => {
  let ledger: LimitLedger
  beforeEach(() => { ledger = new LimitLedger() })

  it('knows of none at first, and keeps nothing of servers that name none', () => {
    expect(ledger.note(word(Infinity, 0, 5))).to.equal(false)
    expect([ledger.perSecond(server), ledger.size]).to.deep.equal([Infinity, 0])
  })

  it('takes a limit at once, and a lower one too, also from an answer to an older request', () => {
    expect(ledger.note(word(5, 10, 20))).to.equal(true)
    expect(ledger.note(word(2, 5, 30))).to.equal(true)
    expect(ledger.perSecond(server)).to.equal(2)
  })

  it('says that nothing changed where the same figure is named again', () => {
    ledger.note(word(5, 10, 20))
    expect(ledger.note(word(5, 15, 25))).to.equal(false)
  })

  for (const [what, more] of [['a higher figure', 9], ['the end', Infinity]] as const) {
    it(`takes ${what} from a request that was sent after the last lower word came`, () => {
      ledger.note(word(5, 10, 20))
      expect(ledger.note(word(more, 20, 30))).to.equal(true)
      expect(ledger.perSecond(server)).to.equal(more)
    })

    it(`does not take ${what} from an answer that was begun before the word and comes after it`, () => {
      ledger.note(word(5, 10, 20))
      expect(ledger.note(word(more, 19, 30))).to.equal(false)
      expect(ledger.perSecond(server)).to.equal(5)
    })

    it(`does not take ${what} where the lower figure was said again since`, () => {
      ledger.note(word(5, 10, 20))
      ledger.note(word(5, 30, 40))
      expect(ledger.note(word(more, 25, 50))).to.equal(false)
    })
  }

  it('does not take a lower figure that came before the request was sent which ended it', () => {
    ledger.note(word(5, 10, 20))
    ledger.note(word(Infinity, 30, 40))
    expect(ledger.note(word(5, 10, 29))).to.equal(false)
    expect(ledger.note(word(5, 10, 31))).to.equal(true)
  })

  it('tells the limits that hold, and forgets what nobody has heard for long', () => {
    ledger.note(word(5, 10, 20))
    ledger.note({ ...word(3, 10, 20), server: 'engine-2' })
    ledger.note({ ...word(Infinity, 30, 40), server: 'engine-2' })
    expect(ledger.limits().map(each => each.server)).to.deep.equal([server])
    ledger.expire(600_021)
    expect(ledger.perSecond(server)).to.equal(Infinity)
  })

  it('keeps a bounded number of servers, those heard last', () => {
    for (let each = 0; each < 7000; each++) ledger.note({ ...word(5, each, each), server: `engine-${each}` })
    expect(ledger.size).to.equal(6000)
    expect([ledger.perSecond('engine-999'), ledger.perSecond('engine-1000')]).to.deep.equal([Infinity, 5])
  })
})
