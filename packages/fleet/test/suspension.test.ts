/*
 * Guards against expired leases and quota tokens that are used after the machine was suspended. The monotonic clock stands still
 * during a suspension, so ages computed from it are too low by its length: a key lease that had expired long ago was taken as
 * valid, and expired quota tokens were spent in addition to those that the other entries had earned meanwhile.
 */
import { silentLog } from '@finchpitch/core'
import { tokenLifetimeMs, type QuotaRate } from '@finchpitch/decisions'
import { EntryCounters, Facts, KeyLease, QuotaBank, QuotaExchange, Quotas, TableProver, acceptProof, answerProofRequest, requestProof, boottimeMs, hashKey, noLimits, nowMs, quotaBoundOf, suspendedMs as countedMs, type FactPage, type FactSource, type FleetTeam, type Limits, type RoutingTable, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame, FrameOf } from '@finchpitch/wire'
import { expect } from 'chai'
import { ok, type Result } from 'neverthrow'

const revokeMs = 5000
const suspendedMs = 6000
const limits: Limits = { graceMs: 0, drainMs: 0, versionMs: 0, revokeMs, retryRatio: 0, retryWindowMs: 0, retrySlack: 0, loadWindowMs: 0, loadOverage: 0, quotaWindowMs: 8000, quotaOverage: 0.1, quotaSlack: 40_000 }
const rate: QuotaRate = { perSecond: 10_000, burst: 10_000 }
const team: FleetTeam = { name: 'red', keys: [hashKey('k')], quota: { ...rate, unit: 'tokens', plainTokens: 100 } }
const table: RoutingTable = { version: 1, routes: [], services: [], teams: [team], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }

const factsWithTable = (): Facts => {
  const facts = new Facts(silentLog, () => 1000)
  facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
  facts.markComplete('table', 1)
  return facts
}

/** A channel that collects the frames sent over it. */
const collectingChannel = (frames: Frame[]): Channel => ({ send: (frame: Frame) => frames.push(frame) > 0 }) as unknown as Channel

describe('a machine that was suspended', () => {
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => time.restore())

  describe('the boot-time clock', () => {
    it('includes the suspension, and otherwise runs with the monotonic clock', async () => {
      const [boottime, monotonic] = [boottimeMs(), nowMs()]
      await time.advance(100)
      time.suspend(suspendedMs)
      await time.advance(100)
      expect(nowMs() - monotonic).to.equal(200)
      expect(boottimeMs() - boottime).to.equal(200 + suspendedMs)
    })

    it('does not go back when the wall clock is set back', async () => {
      const boottime = boottimeMs()
      time.suspend(-suspendedMs)
      await time.advance(100)
      expect(boottimeMs() - boottime).to.equal(100)
    })

    it('does not accumulate small corrections of the wall clock', async () => {
      const boottime = boottimeMs()
      for (let each = 0; each < 100; each++) {
        time.suspend(5)
        await time.advance(1000)
        boottimeMs()
      }
      expect(boottimeMs() - boottime).to.equal(100_000)
    })

    // A busy machine may pause the process while it reads the two clocks. Each such pause was counted as a suspension for good.
    describe('if the process is paused while it reads the clock', () => {
      const pauseMs = 40

      /** Lets `disrupt` happen right before or right after the next read of the wall clock. */
      const disruptNextRead = (when: 'before' | 'after', disrupt: () => void): void => {
        const read = Date.now
        Date.now = () => {
          Date.now = read
          if (when === 'before') disrupt()
          const wallClock = read()
          if (when === 'after') disrupt()
          return wallClock
        }
      }

      beforeEach(() => { boottimeMs() })

      for (const when of ['before', 'after'] as const) {
        it(`does not run ahead of real time (pause ${when} the read of the wall clock)`, async () => {
          const [boottime, monotonic, suspended] = [boottimeMs(), nowMs(), countedMs()]
          for (let each = 0; each < 10; each++) {
            disruptNextRead(when, () => time.advanceSync(pauseMs))
            const startedMs = nowMs() - monotonic
            expect(boottimeMs() - boottime).to.be.within(startedMs, startedMs + pauseMs)
            disruptNextRead(when, () => time.advanceSync(pauseMs))
            expect(countedMs()).to.equal(suspended)
            await time.advance(100)
            expect(boottimeMs() - boottime).to.equal(nowMs() - monotonic)
          }
        })

        it(`includes a suspension from the next read on (both ${when} the read of the wall clock)`, () => {
          const [boottime, monotonic] = [boottimeMs(), nowMs()]
          disruptNextRead(when, () => {
            time.advanceSync(pauseMs)
            time.suspend(suspendedMs)
          })
          const first = boottimeMs() - boottime
          expect(first).to.be.within(when === 'before' ? suspendedMs : 0, nowMs() - monotonic + suspendedMs)
          expect(boottimeMs() - boottime).to.equal(pauseMs + suspendedMs)
        })

        it(`includes a suspension before the read (pause ${when} the read of the wall clock)`, () => {
          const boottime = boottimeMs()
          time.suspend(suspendedMs)
          disruptNextRead(when, () => time.advanceSync(pauseMs))
          expect(boottimeMs() - boottime).to.be.within(suspendedMs, suspendedMs + pauseMs)
          expect(boottimeMs() - boottime).to.equal(suspendedMs + pauseMs)
        })
      }
    })
  })

  describe('the key lease', () => {
    it('has expired on wake-up', () => {
      const facts = factsWithTable()
      const lease = new KeyLease(facts, () => limits)
      facts.freshness.prove(boottimeMs())
      expect(lease.held).to.equal(true)
      time.suspend(suspendedMs)
      expect(lease.held).to.equal(false)
    })

    it('is not renewed by the store\'s answer to a call made before the suspension', async () => {
      const facts = factsWithTable()
      const changes = async (): Promise<Result<FactPage, StoreFailure>> => {
        time.suspend(suspendedMs)
        return ok({ facts: [], revision: 1 })
      }
      const source: FactSource = { kind: 'table', list: async () => await changes(), changes }
      await new TableProver(source, facts, new AbortController().signal).ensureProof()
      expect(facts.freshness.ageMs).to.be.at.least(suspendedMs)
    })

    it('is not renewed by a peer\'s proof that was requested before the suspension', () => {
      const [entry, side] = [factsWithTable(), factsWithTable()]
      side.freshness.prove(boottimeMs())
      const [asked, answered]: [Frame[], Frame[]] = [[], []]
      requestProof(entry, collectingChannel(asked))
      const receivedAt = boottimeMs()
      answerProofRequest(side, { channel: collectingChannel(answered), ask: asked[0] as FrameOf<'ask_fresh'>, cameAt: receivedAt })
      time.suspend(suspendedMs)
      acceptProof(entry, answered[0] as FrameOf<'fresh'>)
      expect(entry.freshness.ageMs).to.be.at.least(suspendedMs)
    })
  })

  describe('quota tokens', () => {
    const lifetimeMs = tokenLifetimeMs(rate, quotaBoundOf(limits))
    let quotas: Quotas

    /** Without waiting in the line, in which more tokens would be earned. */
    const canTake = (tokens: number): boolean => quotas.accounts.get(team.name)?.take(tokens) !== undefined

    beforeEach(() => {
      quotas = new Quotas({ limits: () => limits, entries: () => 2, startedAt: boottimeMs(), exchangeNow: async () => false, counters: new EntryCounters(), log: silentLog })
      quotas.setTeams([team])
    })

    it('that were earned before the suspension have expired, and none are earned during it', async () => {
      await time.advance(lifetimeMs)
      time.suspend(suspendedMs)
      expect(canTake(1)).to.equal(false)
      await time.advance(1000)
      expect(canTake(4000)).to.equal(true)
    })

    it('that were reserved before the suspension are not spent after it', async () => {
      await time.advance(1000)
      const reserved = await quotas.reserve(team, '4000,0')
      time.suspend(suspendedMs)
      expect(typeof reserved !== 'number' && quotas.spend(reserved)).to.equal(false)
    })

    it('that a side process pools have expired on wake-up', async () => {
      const bank = new QuotaBank()
      const giveFrame = (gives: FrameOf<'quota'>['gives'], stamp: number, heldMs = 0): FrameOf<'quota'> => ({ type: 'quota', stamp: 1, echo: { stamp, heldMs }, gives, wants: [] })
      const first = bank.exchange('e', { type: 'quota', stamp: 1, gives: [], wants: [] }, () => lifetimeMs)
      bank.exchange('e', giveFrame([['red', 5000, 0]], first.bankStamp), () => lifetimeMs)
      time.suspend(suspendedMs)
      const grant = bank.exchange('f', { type: 'quota', stamp: 1, gives: [], wants: [['red', 1000]] }, () => lifetimeMs)
      expect(grant.grants).to.deep.equal([])
    })

    it('that arrive after the suspension, requested before it, are at least as old as the request', async () => {
      const frames: Frame[] = []
      const channel = collectingChannel(frames)
      const exchange = new QuotaExchange({ quotas, serverLimits: noLimits, hosts: () => ['h'], channelTo: () => channel, log: silentLog })
      void quotas.reserve(team, '50000,0')
      void exchange.exchangeNow()
      const { stamp } = frames[0] as FrameOf<'quota'>
      time.suspend(suspendedMs)
      exchange.handleGrant('h', channel, { type: 'quota_grant', stamp, bankStamp: 1, grants: [['red', 50_000, 0]], needed: [] })
      expect(canTake(1000)).to.equal(false)
    })
  })
})
