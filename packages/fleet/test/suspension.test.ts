/*
 * A machine that is suspended wakes with a steady clock that stood still meanwhile. All that is worked out from it is too
 * young by the length of the sleep: a lease on keys that had ended long ago passed as good, and tokens of a quota that had
 * lapsed were spent beside those that the other entries had earned in the meantime.
 */
import { quietLog } from '@finchpitch/core'
import { tokenLifeMs, type QuotaRate } from '@finchpitch/decisions'
import { Facts, KeyLease, QuotaBank, QuotaExchange, Quotas, TableProver, acceptFresh, answerFresh, askFresh, elapsedMs, hashKey, noLimits, nowMs, quotaBoundOf, type FactPage, type FactSource, type FleetTeam, type Limits, type RoutingTable, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { expect } from 'chai'
import { ok, type Result } from 'neverthrow'

const revokeMs = 5000
const sleepMs = 6000
const limits: Limits = { graceMs: 0, drainMs: 0, versionMs: 0, revokeMs, retryRatio: 0, retryWindowMs: 0, retrySlack: 0, loadWindowMs: 0, loadOverage: 0, quotaWindowMs: 8000, quotaOverage: 0.1, quotaSlack: 40_000 }
const rate: QuotaRate = { perSecond: 10_000, burst: 10_000 }
const team: FleetTeam = { name: 'red', keys: [hashKey('k')], quota: { ...rate, unit: 'tokens', plainTokens: 100 } }
const table: RoutingTable = { version: 1, routes: [], services: [], teams: [team], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }

const knowing = (): Facts => {
  const facts = new Facts(quietLog, () => 1000)
  facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
  facts.completed('table', 1)
  return facts
}

/** A channel of which only the frames that were sent are looked at. */
const channelOver = (frames: Frame[]): Channel => ({ send: (frame: Frame) => frames.push(frame) > 0 }) as unknown as Channel

describe('a machine that is suspended', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('the clock of what must not be too old', () => {
    it('counts the sleep, and otherwise goes with the steady clock', async () => {
      const [elapsed, steady] = [elapsedMs(), nowMs()]
      await time.pass(100)
      time.suspend(sleepMs)
      await time.pass(100)
      expect(nowMs() - steady).to.equal(200)
      expect(elapsedMs() - elapsed).to.equal(200 + sleepMs)
    })

    it('never goes back with the time of day', async () => {
      const elapsed = elapsedMs()
      time.suspend(-sleepMs)
      await time.pass(100)
      expect(elapsedMs() - elapsed).to.equal(100)
    })

    it('does not gather what the time of day is corrected by, little by little', async () => {
      const elapsed = elapsedMs()
      for (let each = 0; each < 100; each++) {
        time.suspend(5)
        await time.pass(1000)
        elapsedMs()
      }
      expect(elapsedMs() - elapsed).to.equal(100_000)
    })
  })

  describe('the lease on keys', () => {
    it('has ended when it wakes', () => {
      const facts = knowing()
      const lease = new KeyLease(facts, () => limits)
      facts.freshness.prove(elapsedMs())
      expect(lease.held).to.equal(true)
      time.suspend(sleepMs)
      expect(lease.held).to.equal(false)
    })

    it('is not renewed by an answer of the store to a call from before the sleep', async () => {
      const facts = knowing()
      const changes = async (): Promise<Result<FactPage, StoreFailure>> => {
        time.suspend(sleepMs)
        return ok({ facts: [], revision: 1 })
      }
      const source: FactSource = { kind: 'table', list: async () => await changes(), changes }
      await new TableProver(source, facts, new AbortController().signal).prove()
      expect(facts.freshness.ageMs).to.be.at.least(sleepMs)
    })

    it('is not renewed by the proof of a peer that was asked for before the sleep', () => {
      const [entry, side] = [knowing(), knowing()]
      side.freshness.prove(elapsedMs())
      const [asked, answered]: [Frame[], Frame[]] = [[], []]
      askFresh(entry, channelOver(asked))
      const cameAt = elapsedMs()
      answerFresh(side, { channel: channelOver(answered), ask: asked[0] as FrameOf<'ask_fresh'>, cameAt })
      time.suspend(sleepMs)
      acceptFresh(entry, answered[0] as FrameOf<'fresh'>)
      expect(entry.freshness.ageMs).to.be.at.least(sleepMs)
    })
  })

  describe('the tokens of a quota', () => {
    const life = tokenLifeMs(rate, quotaBoundOf(limits))
    let quotas: Quotas

    const has = async (tokens: number): Promise<boolean> => typeof await quotas.reserve(team, `${tokens},0`) !== 'number'

    beforeEach(() => {
      quotas = new Quotas({ limits: () => limits, entries: () => 2, bring: async () => false })
      quotas.follow([team])
    })

    it('that were earned before the sleep have lapsed, and none were earned in it', async () => {
      await time.pass(life)
      time.suspend(sleepMs)
      expect(await has(1)).to.equal(false)
      await time.pass(1000)
      expect(await has(4000)).to.equal(true)
    })

    it('that were set aside before it are not spent after it', async () => {
      await time.pass(1000)
      const reserved = await quotas.reserve(team, '4000,0')
      time.suspend(sleepMs)
      expect(typeof reserved !== 'number' && quotas.spend(reserved)).to.equal(false)
    })

    it('that a side process keeps have lapsed when it wakes', async () => {
      const bank = new QuotaBank()
      const give = (gives: FrameOf<'quota'>['gives'], stamp: number, heldMs = 0): FrameOf<'quota'> => ({ type: 'quota', stamp: 1, echo: { stamp, heldMs }, gives, wants: [] })
      const first = bank.exchange('e', { type: 'quota', stamp: 1, gives: [], wants: [] }, () => life)
      bank.exchange('e', give([['red', 5000, 0]], first.bankStamp), () => life)
      time.suspend(sleepMs)
      const grant = bank.exchange('f', { type: 'quota', stamp: 1, gives: [], wants: [['red', 1000]] }, () => life)
      expect(grant.grants).to.deep.equal([])
    })

    it('that come to it after the sleep, asked for before it, are no younger than the question', async () => {
      const frames: Frame[] = []
      const channel = channelOver(frames)
      const exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['h'], channelTo: () => channel, log: quietLog })
      void exchange.bring('red', 50_000)
      const { stamp } = frames[0] as FrameOf<'quota'>
      time.suspend(sleepMs)
      exchange.take('h', channel, { type: 'quota_grant', stamp, bankStamp: 1, grants: [['red', 50_000, 0]], needed: [] })
      expect(await has(1000)).to.equal(false)
    })
  })
})
