import { pause, silentLog } from '@finchpitch/core'
import { tokenLifetimeMs, type TokenSlice } from '@finchpitch/decisions'
import { EntryCountBound, EntryCounters, QuotaBank, QuotaExchange, Quotas, TeamAccount, boottimeMs, costOf, noLimits, nowMs, unknownCaller, type Limits, type Quota } from '@finchpitch/fleet'
import { FakeTime, FleetSystem, sendToFleet, eventually } from '@finchpitch/stand-ins'
import type { Channel, FrameOf, AgedTokens } from '@finchpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'
import { QuotaReplay, maxSpentIn } from './replay/quota-replay.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const limits: Limits = {
  graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, loadWindowMs: 5000, loadOverage: 1.1, quotaWindowMs: 8000, quotaOverage: 0.1, quotaSlack: 30_000
}
const quota: Quota = { unit: 'tokens', perSecond: 30_000, burst: 30_000, plainTokens: 200 }
const team = 'red'

/** The most tokens that may be spent in any window. */
const boundOf = ({ perSecond, burst }: Quota, slack: number): number => (perSecond * limits.quotaWindowMs / 1000 + burst) * (1 + limits.quotaOverage) + slack
const bound = boundOf(quota, limits.quotaSlack)

/** Simulates the accounts of entries and the banks, and records what is spent and when. */
class QuotaSimulation {
  readonly spent: Array<{ tokens: number, at: number }> = []
  /** Messages in transit, by time of arrival. */
  readonly #inTransit: Array<{ at: number, run: () => void }> = []
  readonly accounts: TeamAccount[]
  readonly banks = [new QuotaBank(), new QuotaBank()]
  /** The last stamp that each entry received from each bank since it started. */
  readonly #echoes = new Map<string, { stamp: number, receivedAt: number }>()

  constructor (private readonly time: FakeTime, private readonly entries: number, private readonly assumedEntries: number, private readonly teamQuota = quota) {
    this.accounts = Array.from({ length: entries }, () => this.#createAccount())
  }

  pass (ms: number): void {
    const until = nowMs() + ms
    for (let next = this.#inTransit[0]; next !== undefined && next.at <= until; next = this.#inTransit[0]) {
      this.#inTransit.shift()
      this.time.advanceSync(Math.max(0, next.at - nowMs()))
      next.run()
    }
    this.time.advanceSync(Math.max(0, until - nowMs()))
  }

  /** Returns whether the entry had the tokens. If it lacks them, the request waits in the line or books its tokens. */
  spend (entry: number, tokens: number, caller = unknownCaller): boolean {
    const account = this.at(entry)
    account.updateLine()
    account.recordDemand(tokens, caller.firstTriedMs > 0)
    const record = (): void => { this.spent.push({ tokens, at: nowMs() }) }
    if (account.take(tokens, caller) === undefined) {
      if (!account.join(tokens, caller, slices => { if (slices !== undefined) record() })) account.book(tokens, caller)
      return false
    }
    record()
    return true
  }

  /** Gives an entry's surplus to a bank, or requests what it is short of, as an exchange does. The messages take the given times. */
  exchange (entry: number, bank: number, requestMs: number, answerMs: number): void {
    const account = this.at(entry)
    const stamp = boottimeMs()
    const id = `${entry} ${bank}`
    const echo = this.#echoes.get(id)
    account.updateLine()
    const pooling = echo !== undefined && account.isPooling
    const { tokens, returning, waiting } = account.shortfall(pooling)
    const toAged = (slice: TokenSlice): AgedTokens => [team, slice.tokens, Math.max(0, stamp - slice.earnedAt)]
    const booked = echo === undefined ? [] : account.takeBooked().map(toAged)
    const gives = echo === undefined || (tokens > 0 && !pooling) ? [] : account.takeSurplus().map(toAged)
    const frame: FrameOf<'quota'> = { type: 'quota', stamp, ...(echo === undefined ? {} : { echo: { stamp: echo.stamp, heldMs: stamp - echo.receivedAt } }), gives, booked, wants: tokens > 0 ? [[team, tokens, returning, waiting]] : [], demand: [[team, account.demand]] }
    this.#after(requestMs, () => {
      const lifetime = tokenLifetimeMs(this.teamQuota, { windowMs: limits.quotaWindowMs, overage: limits.quotaOverage, slack: limits.quotaSlack })
      const answer = (this.banks[bank] as QuotaBank).exchange(String(entry), frame, () => lifetime)
      this.#after(answerMs, () => {
        // A restarted entry doesn't receive the answers to its previous incarnation.
        if (this.at(entry) !== account) return
        this.#echoes.set(id, { stamp: answer.bankStamp, receivedAt: boottimeMs() })
        for (const [, total] of answer.demand ?? []) account.noteTotalDemand({ perSecond: total })
        account.granted(answer.grants.map(([, granted, ageMs]) => ({ tokens: granted, earnedAt: answer.stamp - ageMs })))
        account.answered(tokens, answer.grants.reduce((sum, [, granted]) => sum + granted, 0))
      })
    })
  }

  restart (entry: number): void {
    this.accounts[entry] = this.#createAccount()
    for (const bank of this.banks.keys()) this.#echoes.delete(`${entry} ${bank}`)
  }

  restartBank (bank: number): void {
    this.banks[bank] = new QuotaBank()
    for (const entry of this.accounts.keys()) this.#echoes.delete(`${entry} ${bank}`)
  }

  get maxSpent (): number {
    return maxSpentIn(limits.quotaWindowMs, this.spent)
  }

  at (entry: number): TeamAccount {
    return this.accounts[entry % this.entries] as TeamAccount
  }

  #createAccount (): TeamAccount {
    const startedAt = boottimeMs()
    // More entries are assumed until they have been counted.
    return new TeamAccount(this.teamQuota, () => limits, () => boottimeMs() - startedAt < 1500 ? this.entries * 1.5 : this.assumedEntries, startedAt)
  }

  #after (ms: number, run: () => void): void {
    this.#inTransit.push({ at: nowMs() + ms, run })
    this.#inTransit.sort((a, b) => a.at - b.at)
  }
}

const delay = fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 0, max: 30 }) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 9000 }) })
const entry = fc.integer({ min: 0, max: 5 })
const bank = fc.integer({ min: 0, max: 1 })
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.oneof({ weight: 8, arbitrary: fc.integer({ min: 1, max: 400 }) }, { weight: 1, arbitrary: fc.integer({ min: 1, max: 6000 }) }) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('flood' as const), entry, tokens: fc.integer({ min: 50, max: 9000 }), firstTriedMs: fc.constantFrom(0, 200, 1700), remainingMs: fc.integer({ min: 100, max: 5000 }), objectiveMs: fc.constantFrom(199, 506, 2015) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('exchange' as const), entry, bank, requestMs: delay, answerMs: delay }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), entry }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restartAll' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restartBank' as const), bank }) }
)

describe('quotas across all entries', () => {
  let time: FakeTime
  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('in any window', () => {
    const run = (simulation: QuotaSimulation, steps: Array<typeof step extends fc.Arbitrary<infer Step> ? Step : never>): void => {
      for (const each of steps) {
        if (each.type === 'pass') simulation.pass(each.ms)
        if (each.type === 'exchange') simulation.exchange(each.entry, each.bank, each.requestMs, each.answerMs)
        if (each.type === 'restart') simulation.restart(each.entry)
        if (each.type === 'restartAll') for (const other of simulation.accounts.keys()) simulation.restart(other)
        if (each.type === 'restartBank') simulation.restartBank(each.bank)
        if (each.type === 'flood') while (simulation.spend(each.entry, each.tokens, each)) simulation.pass(0)
      }
    }

    it('stay within the bound, while entries and banks restart, stall or are partitioned', () => {
      fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 250 }), steps => {
        const simulation = new QuotaSimulation(time, 6, 6)
        run(simulation, steps)
        expect(simulation.maxSpent).to.be.at.most(bound)
      }), { numRuns: 600 })
    })

    it('stay within the bound while all entries restart several times and spend all that they have', () => {
      fc.assert(fc.property(fc.integer({ min: 20, max: 4000 }), fc.integer({ min: 1, max: 30 }), fc.constantFrom(6, 6 / 1.1), fc.integer({ min: 2000, max: 50_000 }), (intervalMs, restarts, assumed, perSecond) => {
        const teamQuota = { ...quota, perSecond, burst: perSecond }
        const simulation = new QuotaSimulation(time, 6, assumed, teamQuota)
        const spendAll = (): void => { for (const each of simulation.accounts.keys()) while (simulation.spend(each, 50)); }
        const spendFor = (ms: number): void => { for (let left = ms; left > 0; left -= 100) { simulation.pass(Math.min(100, left)); spendAll() } }
        simulation.pass(6000)
        spendAll()
        spendFor(3000)
        for (let each = 0; each < restarts; each++) {
          for (const other of simulation.accounts.keys()) simulation.restart(other)
          spendFor(intervalMs)
        }
        expect(simulation.maxSpent).to.be.at.most(boundOf(teamQuota, limits.quotaSlack))
      }), { numRuns: 60 })
    })

    it('stay within the bound with a tenth more entries than are known', () => {
      fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 250 }), steps => {
        const simulation = new QuotaSimulation(time, 6, 6 / 1.1)
        run(simulation, steps)
        expect(simulation.maxSpent).to.be.at.most(bound)
      }), { numRuns: 300 })
    })
  })

  describe('of a team whose callers are all at one of 26 entries and request seven times the quota', () => {
    /** Share of the quota that is spent in a minute, with or without the exchange of tokens. */
    const spentShare = (withExchange: boolean): number => {
      const simulation = new QuotaSimulation(time, 26, 26)
      for (let each = 0; each < 600; each++) {
        simulation.pass(100)
        for (let attempt = 0; attempt < 30; attempt++) simulation.spend(3, 700)
        if (withExchange && each % 3 === 0) for (let other = 0; other < 26; other++) simulation.exchange(other, 0, 1, 1)
      }
      expect(simulation.maxSpent).to.be.at.most(bound)
      return simulation.spent.reduce((sum, { tokens }) => sum + tokens, 0) / (60 * quota.perSecond)
    }

    it('provide an equal share of a 26th without the exchange', () => {
      expect(spentShare(false)).to.be.within(0.03, 0.05)
    })

    it('provide nearly the whole quota with the exchange', () => {
      expect(spentShare(true)).to.be.within(0.9, 1.05)
    })
  })

  describe('of a team that sends 3.6 times its quota from two of 28 entries', () => {
    const flooded: Quota = { ...quota, perSecond: 131_000, burst: 131_000 }
    let replay: QuotaReplay
    const start = (load = 3.6, startMs = 5000): void => { replay = new QuotaReplay(time, { seed: 7, quota: flooded, limits, load, startMs }) }
    /** Share of the quota that is used in this time, after a second. */
    const usedShare = async (ms: number): Promise<number> => {
      await replay.run(1000)
      const from = nowMs()
      await replay.run(ms)
      return replay.spent.reduce((sum, { at, tokens }) => at < from ? sum : sum + tokens, 0) / (flooded.perSecond * ms / 1000)
    }

    afterEach(() => {
      replay.stop()
      expect(maxSpentIn(limits.quotaWindowMs, replay.spent)).to.be.at.most(boundOf(flooded, limits.quotaSlack))
    })

    it('are used, and large requests get them as often as small ones', async () => {
      start()
      expect(await usedShare(7000)).to.be.at.least(0.9)
      const small = replay.servedShare(nowMs() - 6000, [200])
      expect(replay.servedShare(nowMs() - 6000, [1200, 1900])).to.be.within(small * 0.8, small * 1.25)
    })

    it('are used while frames are late, and again after some were lost and after the banks were killed', async () => {
      start()
      replay.oneWayMs = 40
      expect(await usedShare(3000)).to.be.at.least(0.9)
      replay.lostShare = 0.2
      await replay.run(2000)
      replay.lostShare = 0
      expect(await usedShare(3000)).to.be.at.least(0.9)
      replay.killBanks()
      await replay.run(2000)
      replay.startBanks()
      expect(await usedShare(3000)).to.be.at.least(0.9)
    })

    // Without tokens at the start, most of these requests are rejected.
    it('suffice for most requests within the quota in the first second after a start of all entries', async () => {
      start(0.55, 500)
      await replay.run(1000)
      expect(replay.callers.filter(({ rejections }) => rejections === 0).length / replay.callers.length).to.be.at.least(0.75)
    })
  })

  describe('of a team that sends plain requests, generations and long prompts, 2.9 times its quota together', function () {
    this.timeout(30_000)
    const flooded: Quota = { ...quota, perSecond: 455_000, burst: 455_000 }
    const floodLimits: Limits = { ...limits, quotaSlack: 110_000 }
    const generations = [{ tokens: 300, part: 0.2 }, { tokens: 1200, part: 0.24 }, { tokens: 2500, part: 0.14 }, { tokens: 9000, part: 0.012 }, { tokens: 20_000, part: 0.008 }]
    // Long enough for some 300 callers of the rarest size.
    const halfMs = 20_000

    // Guards against callers that wait as told and are rejected again: all were told a time, whether tokens were booked or not.
    for (const [description, calledEntries] of [['all entries', 28], ['two of 28 entries', 2]] as const) {
      it(`serve nine in ten callers of ${description} that return as told`, async () => {
        const replay = new QuotaReplay(time, { seed: 12, quota: flooded, limits: floodLimits, load: 2.86, startMs: 5000, calledEntries, mix: [{ tokens: 200, part: 0.4, plain: true }, ...generations] })
        await replay.run(1000)
        const from = nowMs()
        await replay.run(6000)
        const rejected = replay.callers.filter(({ startedAt }) => startedAt >= from && startedAt < nowMs() - 2500).filter(({ waitedAsTold }) => waitedAsTold !== undefined)
        replay.stop()
        const kept = rejected.filter(({ waitedAsTold }) => waitedAsTold)
        console.log(`        returned as told: ${kept.length} of ${rejected.length}, served ${kept.filter(({ served }) => served).length}; plain: ${kept.filter(({ plain }) => plain).length}, served ${kept.filter(({ plain, served }) => plain && served).length}`)
        expect(kept.length).to.be.greaterThan(50)
        expect(kept.filter(({ served }) => served).length / kept.length).to.be.at.least(0.9)
      })
    }

    for (const [description, calledEntries, killsBank] of [['all entries', 28, false], ['two of 28 entries', 2, false], ['all entries, whose bank is killed,', 28, true]] as const) {
      // Guards against a line in which a long prompt keeps all requests behind it from their tokens until they are rejected.
      it(`from ${description} serve nearly all plain requests, and generations of all sizes alike`, async () => {
        const replay = new QuotaReplay(time, { seed: 11, quota: flooded, limits: floodLimits, load: 2.86, startMs: 5000, calledEntries, mix: [{ tokens: 200, part: 0.4, plain: true }, ...generations] })
        await replay.run(1000)
        const from = nowMs()
        await replay.run(halfMs)
        if (killsBank) replay.killBankInUse()
        await replay.run(halfMs)
        replay.stop()
        const used = replay.spent.reduce((sum, { at, tokens }) => at < from ? sum : sum + tokens, 0)
        expect(used / (flooded.perSecond * 2 * halfMs / 1000)).to.be.at.least(0.9)
        expect(replay.servedShare(from, [200])).to.be.at.least(0.9)
        const shares = generations.map(({ tokens }) => replay.servedShare(from, [tokens]))
        expect(Math.min(...shares) / Math.max(...shares), shares.join(' ')).to.be.at.least(2 / 3)
        const rejectedMs = replay.callers.flatMap(({ startedAt, rejections, firstDecidedMs }) => startedAt < from || rejections === 0 || firstDecidedMs === undefined ? [] : [firstDecidedMs])
        expect(rejectedMs.filter(ms => ms <= 1).length / rejectedMs.length).to.be.at.least(0.99)
        expect(maxSpentIn(floodLimits.quotaWindowMs, replay.spent)).to.be.at.most(boundOf(flooded, floodLimits.quotaSlack))
      })
    }
  })

  describe('for one request', () => {
    const red = { name: team, keys: [], quota }
    const requested: number[] = []
    const createQuotas = (): Quotas => {
      const quotas: Quotas = new Quotas({
        limits: () => limits,
        entries: () => 10,
        startedAt: boottimeMs(),
        exchangeNow: async () => {
          requested.push(quotas.accounts.get(team)?.tokensWaiting ?? 0)
          return false
        },
        counters: new EntryCounters(),
        log: silentLog
      })
      quotas.setTeams([red])
      return quotas
    }

    it('count prompt and maximum output tokens, or the default cost for requests that state none', () => {
      expect(costOf(quota, '491,72')).to.equal(563)
      for (const stated of [undefined, '', 'many', '5', '-9,2']) expect(costOf(quota, stated)).to.equal(200)
      expect(costOf({ ...quota, unit: 'requests' }, '491,72')).to.equal(1)
    })

    it('are requested from other entries once they are used up here, and return a retry time', async () => {
      const quotas = createQuotas()
      time.advanceSync(1000)
      expect(await quotas.reserve(red, '2900,0')).to.have.property('slices')
      expect(await quotas.reserve(red, '2900,0')).to.be.within(100, 1100)
      expect(requested).to.deep.equal([2900])
    })

    it('are given to other entries in quotas of requests, whose units are few', () => {
      const account = new TeamAccount({ unit: 'requests', perSecond: 20, burst: 20, plainTokens: 1 }, () => limits, () => 2)
      time.advanceSync(1500)
      expect(account.takeSurplus()).not.to.deep.equal([])
    })

    it('are returned if the request is not sent', async () => {
      const quotas = createQuotas()
      time.advanceSync(1000)
      const reserved = await quotas.reserve(red, '2900,0')
      if (typeof reserved === 'number') throw new Error('expected a reservation')
      quotas.release(reserved)
      expect(await quotas.reserve(red, '2900,0')).to.have.property('slices')
    })

    it('are reserved again if they expired while the request waited', async () => {
      const quotas = createQuotas()
      time.advanceSync(1000)
      const reserved = await quotas.reserve(red, '2900,0')
      if (typeof reserved === 'number') throw new Error('expected a reservation')
      time.advanceSync(9000)
      expect(quotas.isValid(reserved, red)).to.equal(false)
      expect(quotas.spend(reserved)).to.equal(true)
    })
  })

  describe('at the bank', () => {
    let bank: QuotaBank
    const exchange = (entry: string, gives: AgedTokens[], wants: Array<[string, number]>): FrameOf<'quota_grant'> =>
      bank.exchange(entry, { type: 'quota', stamp: 5, echo: { stamp: boottimeMs(), heldMs: 0 }, gives, wants }, () => 2000)
    const sumOf = ({ grants }: FrameOf<'quota_grant'>): number => grants.reduce((sum, [, tokens]) => sum + tokens, 0)

    beforeEach(() => { bank = new QuotaBank() })

    it('are granted in full while there are enough, whatever other entries got before', () => {
      exchange('giver', [[team, 10_000, 0]], [])
      for (const each of ['a', 'b', 'c']) expect(sumOf(exchange(each, [], [[team, 3000]]))).to.equal(3000)
      expect(sumOf(exchange('d', [], [[team, 900]]))).to.equal(900)
    })

    it('are divided in proportion to unmet requests if there are too few', () => {
      expect(sumOf(exchange('a', [], [[team, 6000]]))).to.equal(0)
      exchange('giver', [[team, 4000, 0]], [])
      expect(sumOf(exchange('b', [], [[team, 2000]]))).to.equal(1000)
      expect(sumOf(exchange('a', [], [[team, 6000]]))).to.be.within(2500, 3000)
    })

    it('are granted to waiting requests in the order in which entries ran short, returning callers first', () => {
      const wait = (entry: string, returning: number, waiting: number): number => sumOf(bank.exchange(entry, { type: 'quota', stamp: 5, gives: [], wants: [[team, returning + waiting, returning, waiting]] }, () => 2000))
      for (const [entry, returning, waiting] of [['a', 0, 1900], ['b', 0, 200], ['c', 700, 0]] as const) expect(wait(entry, returning, waiting)).to.equal(0)
      exchange('giver', [[team, 2400, 0]], [])
      expect(wait('b', 0, 200)).to.equal(0)
      expect(wait('c', 700, 0)).to.equal(700)
      expect(wait('a', 0, 1900)).to.equal(1700)
    })

    it('that are set aside are held for returning callers for a short time', () => {
      bank.exchange('giver', { type: 'quota', stamp: 5, echo: { stamp: boottimeMs(), heldMs: 0 }, gives: [], booked: [[team, 1000, 0]], wants: [] }, () => 2000)
      expect(sumOf(exchange('a', [], [[team, 1000]]))).to.equal(0)
      const returning: FrameOf<'quota'> = { type: 'quota', stamp: 5, gives: [], wants: [[team, 400, 400, 0]] }
      expect(sumOf(bank.exchange('b', returning, () => 2000))).to.equal(400)
      time.advanceSync(500)
      expect(sumOf(exchange('a', [], [[team, 1000]]))).to.equal(600)
    })

    it('expire, and count as expired if their transit time is unknown', () => {
      exchange('giver', [[team, 4000, 1500]], [])
      time.advanceSync(600)
      expect(sumOf(exchange('a', [], [[team, 100]]))).to.equal(0)
      bank.exchange('giver', { type: 'quota', stamp: 5, gives: [[team, 4000, 0]], wants: [] }, () => 2000)
      expect(sumOf(exchange('a', [], [[team, 100]]))).to.equal(0)
    })
  })

  describe('requested for waiting requests', () => {
    let quotas: Quotas
    let exchange: QuotaExchange
    let sent: Array<FrameOf<'quota'>>
    const red = { name: team, keys: [], quota }
    const channel = { send: (frame: FrameOf<'quota'>) => { sent.push(frame) } } as unknown as Channel

    beforeEach(() => {
      sent = []
      quotas = new Quotas({ limits: () => limits, entries: () => 26, startedAt: boottimeMs(), exchangeNow: async () => await exchange.exchangeNow(), counters: new EntryCounters(), log: silentLog })
      exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['10.0.0.1'], channelTo: () => channel, log: silentLog })
      quotas.setTeams([red])
      time.advanceSync(1000)
    })

    /** The bank grants this share of the tokens that the last frame requested. */
    const answer = async (share = 1): Promise<void> => {
      const frame = sent.at(-1)
      const grants = (frame?.wants ?? []).map(([name, tokens]): AgedTokens => [name, tokens * share, 0])
      exchange.handleGrant('10.0.0.1', channel, { type: 'quota_grant', stamp: frame?.stamp ?? 0, bankStamp: nowMs(), grants, needed: [] })
      await time.settle()
    }

    it('are enough for all of them, including one that arrives while they are in transit', async () => {
      const waiting = [quotas.reserve(red, '900,0'), quotas.reserve(red, '1500,0'), quotas.reserve(red, '1500,0')]
      await time.settle()
      const between = quotas.reserve(red, '200,0')
      for (let each = 0; each < 4; each++) await answer()
      for (const reserved of [...waiting, between]) expect(await reserved).to.have.property('slices')
    })

    it('are requested again at once, unless fewer were granted than requested', async () => {
      const first = quotas.reserve(red, '1500,0')
      await answer()
      expect(await first).to.have.property('slices')
      const second = quotas.reserve(red, '9000,0')
      await time.settle()
      await answer(0.3)
      const frames = sent.length
      expect(await quotas.reserve(red, '9000,0')).to.be.a('number')
      expect(sent).to.have.length(frames)
      await time.advance(400)
      expect(await second).to.be.a('number')
    })
  })

  describe('that live for less than a second, of a team whose callers are all at one of four entries', () => {
    const shortLived: Limits = { ...limits, quotaWindowMs: 2000, quotaSlack: 1000 }
    const rate: Quota = { ...quota, perSecond: 4000, burst: 4000 }
    const red = { name: team, keys: [], quota: rate }
    const lifetimeMs = tokenLifetimeMs(rate, { windowMs: shortLived.quotaWindowMs, overage: shortLived.quotaOverage, slack: shortLived.quotaSlack })

    /** Connects an entry to the bank. Frames arrive in order; `hopMs` is the time that the next one takes. */
    const createEntry = (entry: number, bank: QuotaBank, signal: AbortSignal, hopMs: () => number): Quotas => {
      const quotas: Quotas = new Quotas({ limits: () => shortLived, entries: () => 4, startedAt: boottimeMs(), exchangeNow: async () => await exchange.exchangeNow(), counters: new EntryCounters(), log: silentLog })
      const inOrder = (): (run: () => void) => void => {
        let arrivesAt = 0
        return run => {
          arrivesAt = Math.max(arrivesAt, nowMs() + hopMs())
          setTimeout(run, arrivesAt - nowMs())
        }
      }
      const [toBank, toEntry] = [inOrder(), inOrder()]
      const send = (frame: FrameOf<'quota'>): void => toBank(() => {
        const grant = bank.exchange(`entry-${entry}`, frame, () => lifetimeMs)
        toEntry(() => exchange.handleGrant('10.0.0.1', channel, grant))
      })
      const channel = { send } as unknown as Channel
      const exchange: QuotaExchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['10.0.0.1'], channelTo: () => channel, log: silentLog })
      quotas.setTeams([red])
      void exchange.run(signal)
      return quotas
    }

    /** Share of the quota that 200 requests per second at one entry get in 6 s, if frames take up to `maxHopMs`. */
    const servedShare = async (maxHopMs: number): Promise<number> => {
      const random = xoroshiro128plus(1)
      const stop = new AbortController()
      const bank = new QuotaBank()
      const [entry] = Array.from({ length: 4 }, (_, index) => createEntry(index, bank, stop.signal, () => uniformFloat64(random) * maxHopMs))
      await time.advance(3000)
      let tokens = 0
      for (let each = 0; each < 600; each++) {
        for (let caller = 0; caller < 2; caller++) void entry?.reserve(red, undefined).then(reserved => { if (typeof reserved !== 'number') tokens += 200 })
        await time.advance(10)
      }
      stop.abort()
      return tokens / (6 * rate.perSecond)
    }

    // Tokens lost up to 100 ms of their lifetime in each process that they passed through: 0.71 of the quota was used.
    it('are nearly all used', async () => {
      expect(await servedShare(2)).to.be.within(0.9, 1.3)
    })

    // Entries without demand kept tokens for more than half of their lifetime: 0.5 of the quota was used.
    it('are mostly used if frames take up to 100 ms', async () => {
      expect(await servedShare(100)).to.be.within(0.75, 1.3)
    })
  })

  describe('exchanged with a bank whose answers wait in the socket while this process stalls', () => {
    it('stay with that bank', async () => {
      const askedHosts: string[] = []
      const sent: Array<FrameOf<'quota'>> = []
      const channelTo = (host: string): Channel => {
        askedHosts.push(host)
        return { send: (frame: FrameOf<'quota'>) => { sent.push(frame) } } as unknown as Channel
      }
      const quotas = new Quotas({ limits: () => limits, entries: () => 4, startedAt: boottimeMs(), exchangeNow: async () => false, counters: new EntryCounters(), log: silentLog })
      quotas.setTeams([{ name: team, keys: [], quota }])
      const exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['10.0.0.1', '10.0.0.2'], channelTo, log: silentLog })
      const stop = new AbortController()
      void exchange.run(stop.signal)
      await time.advance(300)
      const [bank] = askedHosts
      for (let stall = 0; stall < 4; stall++) {
        time.advanceSync(600)
        const frame = sent.at(-1)
        setImmediate(() => exchange.handleGrant(askedHosts.at(-1) ?? '', channelTo(askedHosts.at(-1) ?? ''), { type: 'quota_grant', stamp: frame?.stamp ?? 0, bankStamp: 0, grants: [], needed: [] }))
        await time.settle()
      }
      stop.abort()
      expect(new Set(askedHosts)).to.deep.equal(new Set([bank]))
      expect(sent.length).to.be.greaterThan(3)
    })
  })

  describe('divided by an upper bound of the number of entries', () => {
    it('assume many entries until they are counted, and then the highest recent count', () => {
      const entryBound = new EntryCountBound()
      expect(entryBound.update(3, 33)).to.equal(49.5)
      time.advanceSync(2000)
      expect(entryBound.update(26, 33)).to.equal(26)
      time.advanceSync(1000)
      expect(entryBound.update(20, 33)).to.equal(26)
      time.advanceSync(14_000)
      expect(entryBound.update(20, 33)).to.equal(26)
      time.advanceSync(16_000)
      expect(entryBound.update(20, 33)).to.equal(20)
    })

    // While processes started, four entries were counted as five and six for 0.7 s; held for 30 s, that left each a third less.
    it('adopt a higher count at once, but hold it only if it lasts', () => {
      const entryBound = new EntryCountBound()
      const updates = (counts: readonly number[]): number[] => counts.map(count => {
        time.advanceSync(200)
        return entryBound.update(count, 4)
      })
      updates([4, 4, 4, 4, 4, 4, 4, 4])
      expect(updates([5, 6, 5, 4])).to.deep.equal([5, 6, 5, 4])
      expect(updates([5, 6, 5, 6, 5, 6, 4])).to.deep.equal([5, 6, 5, 6, 5, 6, 5])
    })
  })
})

describe('quotas in a fleet of processes', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let sent = 0
  const perSecond = 4000

  before(async () => {
    fleet = new FleetSystem({
      network: 47, domains: 2, entriesPerDomain: 2, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 3, loadMs: 60, workMs: 2, events: 3, eventMs: 2, bounds: { quotaWindowS: 2, quotaOverage: 0.1, quotaSlack: 1000 }
    })
    await fleet.start()
    fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, { tenants: [{ name: 'red', apiKeys: ['k'], unit: 'tokens', plainTokens: 200, ratePerS: perSecond, burst: perSecond }] }))
    await eventually('keys are required', async () => (await sendToFleet(fleet, { path: '/once/x', id: `quota-${sent++}` })).status === 401)
    await pause(3500)
  })

  after(async () => { await fleet.stop() })

  /** Sends requests continuously to one entry. Returns the tokens of accepted requests, and the retry times of rejected ones. */
  const sendFor = async (ms: number): Promise<{ tokens: number, retryAfter: number[] }> => {
    const until = Date.now() + ms
    let tokens = 0
    const retryAfter: number[] = []
    const caller = async (): Promise<void> => {
      while (Date.now() < until) {
        const reply = await sendToFleet(fleet, { path: '/once/x', id: `quota-${sent++}`, headers: { authorization: 'Token k' } })
        if (reply.status === 200) tokens += 200
        if (reply.status === 429) retryAfter.push(Number(reply.headers['retry-after']))
        await pause(10)
      }
    }
    await Promise.all(Array.from({ length: 6 }, caller))
    return { tokens, retryAfter }
  }

  it('give a team at one of four entries most of the quota and no more, and tell it when to retry', async () => {
    const seconds = 6
    const { tokens, retryAfter } = await sendFor(seconds * 1000)
    expect(tokens / (seconds * perSecond)).to.be.within(0.75, 1.3)
    expect(retryAfter.length).to.be.greaterThan(0)
    expect(retryAfter.every(each => each > 0 && each <= 5)).to.equal(true)
  })

  it('recognize callers that return, also those that are rejected again, and log that tokens are short', async () => {
    const first = (): Promise<unknown> => sendToFleet(fleet, { path: '/once/x', id: `quota-${sent++}`, headers: { authorization: 'Token k' } })
    await Promise.all(Array.from({ length: 60 }, first))
    const returns = Array.from({ length: 40 }, () => sendToFleet(fleet, { path: '/once/x', id: `quota-${sent++}`, remainingMs: 1500, headers: { authorization: 'Token k' } }))
    await Promise.all(returns)
    await eventually('the log lines are written', () => {
      const lines = fleet.lines(fleet.entries[0] as typeof fleet.entries[number])
      return lines.some(line => line.event === 'quota.short' && line.short === true) && lines.some(line => line.outcome === 'over_quota' && Number(line.firstTriedMs) >= 1000)
    })
  })

  it('give a team the share of one entry without side processes', async () => {
    for (const side of fleet.sides) await fleet.kill(side)
    await pause(2500)
    const { tokens } = await sendFor(4000)
    expect(tokens / (4 * perSecond)).to.be.within(0.15, 0.45)
    for (const side of fleet.sides) await fleet.startProcess(side)
  })
})
