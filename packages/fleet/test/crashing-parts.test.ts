/*
 * Guards against a part of a prompt that crashes server after server. Requests that shared one part of their prompts came at all
 * entries, no two alike, and each engine that began to write an answer to one of them crashed. Crashes were counted against whole
 * requests only, so each of these was a request without crashes, and 32 engines crashed within a few seconds.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet, type FleetResponse } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const badPart = 'bad0bad0'
const companionPart = 'c0ffee00'
const firstPart = '0f0f0f0f'
const otherParts = ['aa01', 'aa02', 'aa03', 'aa04']
const badIntervalMs = 160
const soundIntervalMs = 12
/** One in this many sound requests has the part that always comes beside the bad one. */
const companionInterval = 20
/** Entries in contact with each other know of a crash after this time. */
const contactMs = 3000
/** The number of crashes after which requests with the part must no longer reach engines. */
const maxCrashes = 5
/** The number of requests that may reach engines nevertheless. */
const maxLateRuns = 3
const calmMs = 2500
const troubleMs = 12_000
/** Sound requests must be served at least this share as often as before. */
const minServedShare = 0.5

interface Sent {
  at: number
  kind: 'bad' | 'plain' | 'companion'
  served: boolean
}

describe('a part of prompts that crashes the servers that write answers to them', function () {
  this.timeout(90_000)
  let fleet: FleetSystem
  let count = 0

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 76, domains: 3, entriesPerDomain: 2, enginesPerDomain: 4, plainServersPerDomain: 0, adapterSlots: 8, loadMs: 20, workMs: 20, events: 6, eventMs: 25 })
    await fleet.start()
    for (const engine of fleet.engines) Object.assign(engine, { crashParts: new Set([badPart]), crashDelayMs: 40 })
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const isServed = ({ status, whole }: FleetResponse): boolean => status === 200 && whole

  const send = async (kind: Sent['kind'], parts: readonly string[], entries: readonly number[]): Promise<Sent> => {
    const number = count++
    const at = performance.now()
    const prompt = [...parts, (0x10000000 + number).toString(16)].map(part => `${part}:100`).join(',')
    const request = { path: '/stream/s', id: `${kind}-${number}`, model: 'base', entry: entries[number % entries.length] ?? 0, headers: { 'prompt-prefix': prompt }, body: `{"ask":${number}}` }
    const served = await sendToFleet(fleet, request).then(isServed, () => false)
    return { at, kind, served }
  }

  /** Sends both kinds of sound requests for `ms`, and bad ones among them if `badParts` is set. */
  const sendFor = async (ms: number, badParts: readonly string[] | undefined, entries = [...fleet.entries.keys()]): Promise<Sent[]> => {
    const sent: Array<Promise<Sent>> = []
    const startedAt = performance.now()
    let nextSoundAt = startedAt
    let nextBadAt = badParts === undefined ? Infinity : startedAt
    for (let now = startedAt; now < startedAt + ms; now = performance.now()) {
      for (; nextSoundAt <= now; nextSoundAt += soundIntervalMs) {
        const isCompanion = count % companionInterval === 0
        sent.push(send(isCompanion ? 'companion' : 'plain', [firstPart, isCompanion ? companionPart : otherParts[count % otherParts.length] ?? ''], entries))
      }
      for (; nextBadAt <= now; nextBadAt += badIntervalMs) sent.push(send('bad', badParts ?? [], entries))
      await pause(4)
    }
    return await Promise.all(sent)
  }

  /** When engines began to run requests with the bad part, in order. */
  const badRuns = (): number[] =>
    fleet.engines.flatMap(engine => engine.arrivals).filter(({ id, refused }) => !refused && id.startsWith('bad-')).map(({ at }) => at).sort((a, b) => a - b)

  const servedShare = (sent: readonly Sent[], kind: Sent['kind'], since = -Infinity): number => {
    const counted = sent.filter(each => each.kind === kind && each.at >= since)
    return counted.filter(({ served }) => served).length / counted.length
  }

  const checkTrouble = (calm: readonly Sent[], trouble: readonly Sent[]): void => {
    const runs = badRuns()
    const fifthCrashAt = runs[maxCrashes - 1] ?? runs.at(-1) ?? Infinity
    const late = runs.filter(at => at > fifthCrashAt + contactMs).length
    const shares = (['plain', 'companion'] as const).map(kind => ({ kind, before: servedShare(calm, kind), after: servedShare(trouble, kind, fifthCrashAt + 2 * contactMs) }))
    console.log(`      runs with the part: ${runs.length}, of these later than ${contactMs} ms after the fifth: ${late}; sound requests served: ${shares.map(({ kind, before, after }) => `${kind} ${before.toFixed(2)} before, ${after.toFixed(2)} after`).join('; ')}`)
    expect(runs.length, 'runs with the part').to.be.above(0)
    expect(late, 'late runs with the part').to.be.at.most(maxLateRuns)
    for (const { kind, before, after } of shares) expect(after, `served requests, ${kind}`).to.be.at.least(before * minServedShare)
  }

  it('is sent to no more servers after the fifth crash, while other requests are served', async () => {
    const calm = await sendFor(calmMs, undefined)
    checkTrouble(calm, await sendFor(troubleMs, [firstPart, badPart]))
  })

  it('is told from a part that always comes beside it', async () => {
    const calm = await sendFor(calmMs, undefined)
    checkTrouble(calm, await sendFor(troubleMs, [firstPart, companionPart, badPart]))
  })

  it('is known to entries that start after its crashes', async () => {
    const calm = await sendFor(calmMs, undefined)
    const first = await sendFor(3000, [firstPart, badPart])
    const later: Sent[] = []
    for (const [index, entry] of fleet.entries.entries()) {
      await fleet.kill(entry)
      later.push(...await sendFor(700, [firstPart, badPart], [...fleet.entries.keys()].filter(each => each !== index)))
      await fleet.startProcess(entry)
      later.push(...await sendFor(1500, [firstPart, badPart]))
    }
    checkTrouble(calm, [...first, ...later])
  })

  it('is recognized again after all processes were killed at once', async () => {
    const calm = await sendFor(calmMs, undefined)
    await sendFor(3000, [firstPart, badPart])
    const runsBefore = badRuns().length
    const machines = [...fleet.entries, ...fleet.sides]
    await Promise.all(machines.map(async machine => await fleet.kill(machine)))
    await Promise.all(machines.map(async machine => await fleet.startProcess(machine)))
    const restartedAt = performance.now()
    const trouble = await sendFor(troubleMs, [firstPart, badPart])
    const runs = badRuns().slice(runsBefore)
    const late = runs.filter(at => at > Math.max(restartedAt, runs[maxCrashes - 1] ?? 0) + contactMs).length
    const [before, after] = [servedShare(calm, 'plain'), servedShare(trouble, 'plain', restartedAt + 2 * contactMs)]
    console.log(`      runs with the part: ${runsBefore} before, ${runs.length} after, of these late: ${late}; sound requests served: ${before.toFixed(2)} before, ${after.toFixed(2)} after`)
    expect(late, 'late runs with the part').to.be.at.most(maxLateRuns)
    expect(after, 'served requests').to.be.at.least(before * minServedShare)
  })
})
