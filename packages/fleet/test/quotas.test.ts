import { pause, quietLog } from '@finchpitch/core'
import { tokenLifetimeMs, type TokenSlice } from '@finchpitch/decisions'
import { EntryCeiling, QuotaBank, QuotaExchange, Quotas, TeamAccount, costOf, noLimits, nowMs, type Limits, type Quota } from '@finchpitch/fleet'
import { FakeTime, FleetSystem, askFleet, eventually } from '@finchpitch/stand-ins'
import type { Channel, FrameOf, TokenAge } from '@finchpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'

const limits: Limits = {
  graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, loadWindowMs: 5000, loadOverage: 1.1, quotaWindowMs: 8000, quotaOverage: 0.1, quotaSlack: 30_000
}
const quota: Quota = { unit: 'tokens', perSecond: 30_000, burst: 30_000, plainTokens: 200 }
const team = 'red'

/** The most that may be used in any window. */
const bound = (quota.perSecond * limits.quotaWindowMs / 1000 + quota.burst) * (1 + limits.quotaOverage) + limits.quotaSlack

/** Entries with accounts, banks, and what was spent when. */
class Ledger {
  readonly spent: Array<{ tokens: number, at: number }> = []
  readonly #due: Array<{ at: number, run: () => void }> = []
  readonly accounts: TeamAccount[]
  readonly banks = [new QuotaBank(), new QuotaBank()]
  /** The last bank stamp that each entry had from each bank, in its present life. */
  readonly #echoes = new Map<string, { stamp: number, cameAt: number }>()

  constructor (private readonly time: FakeTime, private readonly entries: number, private readonly assumed: number) {
    this.accounts = Array.from({ length: entries }, () => this.#account())
  }

  pass (ms: number): void {
    const until = nowMs() + ms
    for (let next = this.#due[0]; next !== undefined && next.at <= until; next = this.#due[0]) {
      this.#due.shift()
      this.time.jump(Math.max(0, next.at - nowMs()))
      next.run()
    }
    this.time.jump(Math.max(0, until - nowMs()))
  }

  spend (entry: number, tokens: number): boolean {
    const account = this.at(entry)
    account.demand(tokens)
    if (account.take(tokens) === undefined) return false
    this.spent.push({ tokens, at: nowMs() })
    return true
  }

  /** All that the entry doesn't need for what it asks, as an exchange does it, with the messages that late. */
  exchange (entry: number, bank: number, there: number, back: number): void {
    const account = this.at(entry)
    const stamp = nowMs()
    const id = `${entry} ${bank}`
    const echo = this.#echoes.get(id)
    const wanted = account.wants()
    const gives = wanted > 0 || echo === undefined ? [] : account.takeSurplus().map((slice: TokenSlice): TokenAge => [team, slice.tokens, stamp - slice.earnedAt])
    const frame: FrameOf<'quota'> = { type: 'quota', stamp, ...(echo === undefined ? {} : { echo: { stamp: echo.stamp, heldMs: stamp - echo.cameAt } }), gives, wants: wanted > 0 ? [[team, wanted]] : [] }
    this.#after(there, () => {
      const life = tokenLifetimeMs(quota, { windowMs: limits.quotaWindowMs, overage: limits.quotaOverage, slack: limits.quotaSlack })
      const answer = (this.banks[bank] as QuotaBank).exchange(String(entry), frame, () => life)
      this.#after(back, () => {
        // A process that has started again has no use for what its former life asked.
        if (this.at(entry) !== account) return
        this.#echoes.set(id, { stamp: answer.bankStamp, cameAt: nowMs() })
        account.granted(answer.grants.map(([, tokens, ageMs]) => ({ tokens, earnedAt: answer.stamp - ageMs })))
      })
    })
  }

  restart (entry: number): void {
    this.accounts[entry] = this.#account()
    for (const bank of this.banks.keys()) this.#echoes.delete(`${entry} ${bank}`)
  }

  restartBank (bank: number): void {
    this.banks[bank] = new QuotaBank()
    for (const entry of this.accounts.keys()) this.#echoes.delete(`${entry} ${bank}`)
  }

  /** The most spent in any window. */
  get most (): number {
    let most = 0
    let sum = 0
    let first = 0
    for (const { tokens, at } of this.spent) {
      sum += tokens
      for (let oldest = this.spent[first]; oldest !== undefined && at - oldest.at > limits.quotaWindowMs; oldest = this.spent[first]) {
        sum -= oldest.tokens
        first += 1
      }
      most = Math.max(most, sum)
    }
    return most
  }

  at (entry: number): TeamAccount {
    return this.accounts[entry % this.entries] as TeamAccount
  }

  #account (): TeamAccount {
    return new TeamAccount(quota, () => limits, () => this.assumed)
  }

  #after (ms: number, run: () => void): void {
    this.#due.push({ at: nowMs() + ms, run })
    this.#due.sort((a, b) => a.at - b.at)
  }
}

const delay = fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 0, max: 30 }) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 9000 }) })
const entry = fc.integer({ min: 0, max: 5 })
const bank = fc.integer({ min: 0, max: 1 })
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.oneof({ weight: 8, arbitrary: fc.integer({ min: 1, max: 400 }) }, { weight: 1, arbitrary: fc.integer({ min: 1, max: 6000 }) }) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('flood' as const), entry, tokens: fc.integer({ min: 50, max: 9000 }) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('exchange' as const), entry, bank, there: delay, back: delay }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), entry }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restartBank' as const), bank }) }
)

describe('quotas over all entries', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('in any window', () => {
    const play = (ledger: Ledger, steps: Array<typeof step extends fc.Arbitrary<infer Step> ? Step : never>): void => {
      for (const each of steps) {
        if (each.type === 'pass') ledger.pass(each.ms)
        if (each.type === 'exchange') ledger.exchange(each.entry, each.bank, each.there, each.back)
        if (each.type === 'restart') ledger.restart(each.entry)
        if (each.type === 'restartBank') ledger.restartBank(each.bank)
        if (each.type === 'flood') while (ledger.spend(each.entry, each.tokens)) ledger.pass(0)
      }
    }

    it('stay under the bound, whatever entries come, go, freeze or do not hear each other', () => {
      fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 250 }), steps => {
        const ledger = new Ledger(time, 6, 6)
        play(ledger, steps)
        expect(ledger.most).to.be.at.most(bound)
      }), { numRuns: 600 })
    })

    it('stay under it with a tenth more entries than are known', () => {
      fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 250 }), steps => {
        const ledger = new Ledger(time, 6, 6 / 1.1)
        play(ledger, steps)
        expect(ledger.most).to.be.at.most(bound)
      }), { numRuns: 300 })
    })
  })

  describe('of a team whose callers are all at one of 26 entries and ask seven times the quota', () => {
    /** The part of the quota that is served over a minute; `exchanged`: whether entries exchange tokens. */
    const served = (exchanged: boolean): number => {
      const ledger = new Ledger(time, 26, 26)
      for (let each = 0; each < 600; each++) {
        ledger.pass(100)
        for (let ask = 0; ask < 30; ask++) ledger.spend(3, 700)
        if (exchanged && each % 3 === 0) for (let other = 0; other < 26; other++) ledger.exchange(other, 0, 1, 1)
      }
      expect(ledger.most).to.be.at.most(bound)
      return ledger.spent.reduce((sum, { tokens }) => sum + tokens, 0) / (60 * quota.perSecond)
    }

    it('an equal share is one part in 26 of it', () => {
      expect(served(false)).to.be.within(0.03, 0.05)
    })

    it('with tokens exchanged it gets nearly all', () => {
      expect(served(true)).to.be.within(0.9, 1.05)
    })
  })

  describe('of one request', () => {
    const red = { name: team, keys: [], quota }
    const brought: number[] = []
    const quotas = (): Quotas => {
      const made = new Quotas({
        limits: () => limits,
        entries: () => 10,
        bring: async (_team, tokens) => {
          brought.push(tokens)
          return false
        }
      })
      made.follow([red])
      return made
    }

    it('count the prompt and the most that comes out, or what is set for requests that state none', () => {
      expect(costOf(quota, '491,72')).to.equal(563)
      for (const stated of [undefined, '', 'many', '5', '-9,2']) expect(costOf(quota, stated)).to.equal(200)
      expect(costOf({ ...quota, unit: 'requests' }, '491,72')).to.equal(1)
    })

    it('are asked of others once they are used up here, and say when to come back', async () => {
      const own = quotas()
      time.jump(1000)
      expect(await own.reserve(red, '2900,0')).to.have.property('slices')
      expect(await own.reserve(red, '2900,0')).to.be.within(100, 1000)
      expect(brought).to.deep.equal([2900])
    })

    it('go back where it was not sent, as old as they were', async () => {
      const own = quotas()
      time.jump(1000)
      const reserved = await own.reserve(red, '2900,0')
      if (typeof reserved === 'number') throw new Error('it was refused')
      own.release(reserved)
      expect(await own.reserve(red, '2900,0')).to.have.property('slices')
    })

    it('are set aside anew where it waited until they lapsed', async () => {
      const own = quotas()
      time.jump(1000)
      const reserved = await own.reserve(red, '2900,0')
      if (typeof reserved === 'number') throw new Error('it was refused')
      time.jump(9000)
      expect(own.lasts(reserved, red)).to.equal(false)
      expect(own.spend(reserved)).to.equal(true)
    })
  })

  describe('at the bank', () => {
    let bank: QuotaBank
    const exchange = (entry: string, gives: TokenAge[], wants: Array<[string, number]>): FrameOf<'quota_grant'> =>
      bank.exchange(entry, { type: 'quota', stamp: 5, echo: { stamp: nowMs(), heldMs: 0 }, gives, wants }, () => 2000)
    const sumOf = ({ grants }: FrameOf<'quota_grant'>): number => grants.reduce((sum, [, tokens]) => sum + tokens, 0)

    beforeEach(() => { bank = new QuotaBank() })

    it('are given to whoever asks while there are enough, whatever others were given before', () => {
      exchange('giver', [[team, 10_000, 0]], [])
      for (const each of ['a', 'b', 'c']) expect(sumOf(exchange(each, [], [[team, 3000]]))).to.equal(3000)
      expect(sumOf(exchange('d', [], [[team, 900]]))).to.equal(900)
    })

    it('are shared by what each asks and did not get, where there are too few', () => {
      expect(sumOf(exchange('a', [], [[team, 6000]]))).to.equal(0)
      exchange('giver', [[team, 4000, 0]], [])
      expect(sumOf(exchange('b', [], [[team, 2000]]))).to.equal(1000)
      expect(sumOf(exchange('a', [], [[team, 6000]]))).to.be.within(2500, 3000)
    })

    it('lapse, and count as lapsed where it can not be known how long they were under way', () => {
      exchange('giver', [[team, 4000, 1500]], [])
      time.jump(600)
      expect(sumOf(exchange('a', [], [[team, 100]]))).to.equal(0)
      bank.exchange('giver', { type: 'quota', stamp: 5, gives: [[team, 4000, 0]], wants: [] }, () => 2000)
      expect(sumOf(exchange('a', [], [[team, 100]]))).to.equal(0)
    })
  })

  describe('exchanged for requests that wait', () => {
    let quotas: Quotas
    let exchange: QuotaExchange
    let sent: Array<FrameOf<'quota'>>
    const red = { name: team, keys: [], quota }
    const channel = { send: (frame: FrameOf<'quota'>) => { sent.push(frame) } } as unknown as Channel

    beforeEach(() => {
      sent = []
      quotas = new Quotas({ limits: () => limits, entries: () => 26, bring: (name, tokens) => exchange.bring(name, tokens) })
      exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['10.0.0.1'], channelTo: () => channel, log: quietLog })
      quotas.follow([red])
      time.jump(1000)
    })

    /** The bank gives all that the last frame asked for, times `part`. */
    const answer = async (part = 1): Promise<void> => {
      const frame = sent.at(-1)
      const grants = (frame?.wants ?? []).map(([name, tokens]): TokenAge => [name, tokens * part, 0])
      exchange.take('10.0.0.1', channel, { type: 'quota_grant', stamp: frame?.stamp ?? 0, bankStamp: nowMs(), grants, needed: [] })
      await time.settle()
    }

    it('are enough for all that wait, also for one that comes while they are under way', async () => {
      const waiting = [quotas.reserve(red, '900,0'), quotas.reserve(red, '1500,0'), quotas.reserve(red, '1500,0')]
      await time.settle()
      const between = quotas.reserve(red, '200,0')
      for (let each = 0; each < 4; each++) await answer()
      for (const reserved of [...waiting, between]) expect(await reserved).to.have.property('slices')
    })

    it('count as short only where fewer came than were asked for', async () => {
      const first = quotas.reserve(red, '1500,0')
      await answer()
      expect(await first).to.have.property('slices')
      const second = quotas.reserve(red, '9000,0')
      await time.settle()
      await answer(0.5)
      expect(await second).to.be.a('number')
      const frames = sent.length
      expect(await quotas.reserve(red, '9000,0')).to.be.a('number')
      expect(sent).to.have.length(frames)
    })
  })

  describe('exchanged with a bank whose answer lies in the sockets while this process stalls', () => {
    it('stay with that bank', async () => {
      const asked: string[] = []
      const sent: Array<FrameOf<'quota'>> = []
      const channelTo = (host: string): Channel => {
        asked.push(host)
        return { send: (frame: FrameOf<'quota'>) => { sent.push(frame) } } as unknown as Channel
      }
      const quotas = new Quotas({ limits: () => limits, entries: () => 4, bring: async () => false })
      quotas.follow([{ name: team, keys: [], quota }])
      const exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['10.0.0.1', '10.0.0.2'], channelTo, log: quietLog })
      const stop = new AbortController()
      void exchange.run(stop.signal)
      await time.pass(300)
      const [bank] = asked
      for (let stall = 0; stall < 4; stall++) {
        time.jump(600)
        const frame = sent.at(-1)
        setImmediate(() => exchange.take(asked.at(-1) ?? '', channelTo(asked.at(-1) ?? ''), { type: 'quota_grant', stamp: frame?.stamp ?? 0, bankStamp: 0, grants: [], needed: [] }))
        await time.settle()
      }
      stop.abort()
      expect(new Set(asked)).to.deep.equal(new Set([bank]))
      expect(sent.length).to.be.greaterThan(3)
    })
  })

  describe('are divided by the most entries that may exist', () => {
    it('many while they have not been counted, the most counted of late afterwards', () => {
      const ceiling = new EntryCeiling()
      expect(ceiling.of(3, 33)).to.equal(49.5)
      time.jump(2000)
      expect(ceiling.of(26, 33)).to.equal(26)
      time.jump(1000)
      expect(ceiling.of(20, 33)).to.equal(26)
      time.jump(14_000)
      expect(ceiling.of(20, 33)).to.equal(26)
      time.jump(16_000)
      expect(ceiling.of(20, 33)).to.equal(20)
    })
  })
})

describe('quotas in a fleet of real processes', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let sent = 0
  const perSecond = 4000

  before(async () => {
    fleet = new FleetSystem({
      network: 47, domains: 2, entriesPerDomain: 2, enginesPerDomain: 1, plainPerDomain: 1, places: 3, loadMs: 60, workMs: 2, events: 3, eventMs: 2, bounds: { quotaWindowS: 2, quotaOverage: 0.1, quotaSlack: 1000 }
    })
    await fleet.start()
    fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, { tenants: [{ name: 'red', apiKeys: ['k'], unit: 'tokens', plainTokens: 200, ratePerS: perSecond, burst: perSecond }] }))
    await eventually('keys are asked for', async () => (await askFleet(fleet, { path: '/once/x', id: `quota-${sent++}` })).status === 401)
    await pause(3500)
  })

  after(async () => { await fleet.stop() })

  /** Asks without pause at one entry; gives the tokens of requests that were served, and the refusals. */
  const flood = async (ms: number): Promise<{ tokens: number, retryAfter: number[] }> => {
    const until = Date.now() + ms
    let tokens = 0
    const retryAfter: number[] = []
    const caller = async (): Promise<void> => {
      while (Date.now() < until) {
        const reply = await askFleet(fleet, { path: '/once/x', id: `quota-${sent++}`, headers: { authorization: 'Token k' } })
        if (reply.status === 200) tokens += 200
        if (reply.status === 429) retryAfter.push(Number(reply.headers['retry-after']))
        await pause(10)
      }
    }
    await Promise.all(Array.from({ length: 6 }, caller))
    return { tokens, retryAfter }
  }

  it('a flood at one of four entries gets most of the quota and never more, and is told when to come back', async () => {
    const seconds = 6
    const { tokens, retryAfter } = await flood(seconds * 1000)
    expect(tokens / (seconds * perSecond)).to.be.within(0.75, 1.3)
    expect(retryAfter.length).to.be.greaterThan(0)
    expect(retryAfter.every(each => each > 0 && each <= 5)).to.equal(true)
  })

  it('without any side process it still has its share', async () => {
    for (const side of fleet.sides) await fleet.kill(side)
    await pause(2500)
    const { tokens } = await flood(4000)
    expect(tokens / (4 * perSecond)).to.be.within(0.15, 0.45)
    for (const side of fleet.sides) await fleet.startProcess(side)
  })
})
