/**
 * What tries met at servers, as processes tell it to each other: ends of servers under requests, and limits that servers name.
 *
 * Times cross as ages, so no clocks are compared. What lies on its way for long seems to have happened later than it did,
 * which can only let two ends seem to overlap that did not, and so count as one.
 */
import type { Crash, CrashLedger, LimitLedger, LimitWord, Probe, SoundRun } from '@finchpitch/decisions'
import { mostCrashes, mostLimits, type Channel, type FrameOf } from '@finchpitch/wire'
import { nowMs } from './clock.js'

/** What a process has learned of late, or all that it knows. */
export interface TryNews {
  crashes: readonly Crash[]
  sound: readonly SoundRun[]
  limits: readonly LimitWord[]
  probes: readonly Probe[]
}

/**
 * How long such news may wait for others. Ends are told at once, as the request may be on its way again, and limits, as the server
 * is in need. That a request is sound concerns only the next end under it; after a domain of engines has ended, some hundred
 * callers' second tries show it.
 */
export const gatherMsOf = ({ crashes, limits, probes }: TryNews, crashesMs: number): number => crashes.length + limits.length + probes.length > 0 ? crashesMs : soundMs
const soundMs = 400

export const nothing: TryNews = { crashes: [], sound: [], limits: [], probes: [] }

export const joined = (all: readonly TryNews[]): TryNews =>
  ({ crashes: all.flatMap(({ crashes }) => crashes), sound: all.flatMap(({ sound }) => sound), limits: all.flatMap(({ limits }) => limits), probes: all.flatMap(({ probes }) => probes) })

export const isEmpty = ({ crashes, sound, limits, probes }: TryNews): boolean => [crashes, sound, limits, probes].every(each => each.length === 0)

/** As many frames as it takes. */
export const framesOf = ({ crashes, sound, limits, probes }: TryNews): Array<FrameOf<'crashes'>> => {
  const now = nowMs()
  const agoMs = (at: number): number => Math.max(0, now - at)
  const parts = Math.ceil(Math.max(crashes.length / mostCrashes, sound.length / mostCrashes, probes.length / mostCrashes, limits.length / mostLimits))
  return Array.from({ length: parts }, (_, part) => ({
    type: 'crashes',
    stamp: now + part,
    crashes: partOf(crashes, part, mostCrashes).map(({ fingerprint, server, sentAt, endedAt }) => [fingerprint, server, agoMs(sentAt), agoMs(endedAt)]),
    sound: partOf(sound, part, mostCrashes).map(({ fingerprint, endedAt }) => [fingerprint, agoMs(endedAt)]),
    ...(limits.length === 0 ? {} : { limits: partOf(limits, part, mostLimits).map(({ server, perSecond, sentAt, heardAt }) => [server, perSecond === Infinity ? null : perSecond, agoMs(sentAt), agoMs(heardAt)]) }),
    ...(probes.length === 0 ? {} : { probes: partOf(probes, part, mostCrashes).map(({ fingerprint, at }) => [fingerprint, agoMs(at)]) })
  }))
}

const partOf = <T>(all: readonly T[], part: number, most: number): readonly T[] => all.slice(part * most, (part + 1) * most)

/** Tells a peer that has come all that a ledger holds: it may have started anew. */
export const greetWith = (ledger: CrashLedger, peer: Channel): void => {
  for (const frame of framesOf({ ...nothing, crashes: ledger.crashes(nowMs()), probes: ledger.probes() })) peer.send(frame)
}

/** The same of limits. */
export const greetWithLimits = (ledger: LimitLedger, peer: Channel): void => {
  for (const frame of framesOf({ ...nothing, limits: ledger.limits() })) peer.send(frame)
}

/** Takes over what a peer tells of ends; gives what of it was news. */
export const takeCrashes = (ledger: CrashLedger, frame: FrameOf<'crashes'>): Omit<TryNews, 'limits'> => {
  const now = nowMs()
  const crashes = frame.crashes.map(([fingerprint, server, sentAgoMs, endedAgoMs]) => ({ fingerprint, server, sentAt: now - sentAgoMs, endedAt: now - endedAgoMs }))
  const sound = frame.sound.map(([fingerprint, agoMs]) => ({ fingerprint, endedAt: now - agoMs }))
  const probes = (frame.probes ?? []).map(([fingerprint, agoMs]) => ({ fingerprint, at: now - agoMs }))
  return {
    probes: probes.filter(probe => ledger.probed(probe, now)),
    crashes: crashes.filter(crash => ledger.crashed(crash, now)),
    sound: sound.filter(run => ledger.sound(run))
  }
}

/** What a peer tells of limits, on this process's clock. */
export const takeLimits = ({ limits = [] }: FrameOf<'crashes'>): LimitWord[] => {
  const now = nowMs()
  return limits.map(([server, perSecond, sentAgoMs, heardAgoMs]) => ({ server, perSecond: perSecond ?? Infinity, sentAt: now - sentAgoMs, heardAt: now - heardAgoMs }))
}
