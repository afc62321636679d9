/**
 * Attempt reports, by which processes share what their attempts observed: crashes of servers, runs that completed, limits that
 * servers advertise, probes of requests whose quarantine has expired, plain services that have become busy, and services for which an
 * entry lacks retries.
 *
 * Times are sent as ages, so no clocks are compared. A message that is delayed makes its events seem later than they were. This can
 * only make two crashes appear to overlap that did not, so that they count as one.
 */
import type { Crash, CrashHistory, AdvertisedLimits, AdvertisedLimit, Probe, CompletedRun } from '@finchpitch/decisions'
import { maxCrashesPerFrame, maxLimitsPerFrame, maxServicesPerFrame, type Channel, type FrameOf } from '@finchpitch/wire'
import { nowMs } from './clock.js'

/** A batch of reports: the recent ones, or everything that a process knows. */
export interface AttemptReports {
  crashes: readonly Crash[]
  /** Completed runs, named as in the frame. */
  sound: readonly CompletedRun[]
  limits: readonly AdvertisedLimit[]
  probes: readonly Probe[]
  /** Plain services that have become busy. */
  busy?: readonly string[]
  /** Services for which an entry lacks retries. */
  retrying?: readonly string[]
}

/**
 * How long reports may be held back for batching. Crashes are urgent, since the request may already be retried elsewhere, and so are
 * limits, since the server is overloaded. A completed run of a request only matters for its next crash. Completed runs come in bursts:
 * after all engines of a failure domain crash, some hundred retries produce one each.
 */
export const batchDelayMs = ({ crashes, limits, probes, busy = [], retrying = [] }: AttemptReports, crashesMs: number): number => crashes.length + limits.length + probes.length + busy.length + retrying.length > 0 ? crashesMs : completedRunsMs
const completedRunsMs = 400

export const noReports: AttemptReports = { crashes: [], sound: [], limits: [], probes: [] }

/** Merges several batches into one. */
export const mergeReports = (all: readonly AttemptReports[]): AttemptReports =>
  ({ crashes: all.flatMap(({ crashes }) => crashes), sound: all.flatMap(({ sound }) => sound), limits: all.flatMap(({ limits }) => limits), probes: all.flatMap(({ probes }) => probes), busy: unique(all.flatMap(({ busy = [] }) => busy)), retrying: unique(all.flatMap(({ retrying = [] }) => retrying)) })

const unique = (names: readonly string[]): string[] => [...new Set(names)]

export const hasNoReports = ({ crashes, sound, limits, probes, busy = [], retrying = [] }: AttemptReports): boolean => [crashes, sound, limits, probes, busy, retrying].every(each => each.length === 0)

/** Converts reports to frames: as many as the size limits of a frame require. */
export const reportFrames = ({ crashes, sound, limits, probes, busy = [], retrying = [] }: AttemptReports): Array<FrameOf<'crashes'>> => {
  const now = nowMs()
  const agoMs = (at: number): number => Math.max(0, now - at)
  const parts = Math.ceil(Math.max(crashes.length / maxCrashesPerFrame, sound.length / maxCrashesPerFrame, probes.length / maxCrashesPerFrame, limits.length / maxLimitsPerFrame, busy.length / maxServicesPerFrame, retrying.length / maxServicesPerFrame))
  return Array.from({ length: parts }, (_, part) => ({
    type: 'crashes',
    stamp: now + part,
    crashes: sliceOf(crashes, part, maxCrashesPerFrame).map(({ fingerprint, server, sentAt, endedAt }) => [fingerprint, server, agoMs(sentAt), agoMs(endedAt)]),
    sound: sliceOf(sound, part, maxCrashesPerFrame).map(({ fingerprint, endedAt }) => [fingerprint, agoMs(endedAt)]),
    ...(limits.length === 0 ? {} : { limits: sliceOf(limits, part, maxLimitsPerFrame).map(({ server, perSecond, sentAt, heardAt }) => [server, perSecond === Infinity ? null : perSecond, agoMs(sentAt), agoMs(heardAt)]) }),
    ...(probes.length === 0 ? {} : { probes: sliceOf(probes, part, maxCrashesPerFrame).map(({ fingerprint, at }) => [fingerprint, agoMs(at)]) }),
    ...(busy.length === 0 ? {} : { busy: [...sliceOf(busy, part, maxServicesPerFrame)] }),
    ...(retrying.length === 0 ? {} : { retrying: [...sliceOf(retrying, part, maxServicesPerFrame)] })
  }))
}

const sliceOf = <T>(all: readonly T[], part: number, size: number): readonly T[] => all.slice(part * size, (part + 1) * size)

/** Sends all known crashes and probes to a newly connected peer, which may have restarted and lost its own. */
export const sendKnownCrashes = (history: CrashHistory, peer: Channel): void => {
  for (const frame of reportFrames({ ...noReports, crashes: history.crashes(nowMs()), probes: history.probes() })) peer.send(frame)
}

/** Sends all known limits to a newly connected peer. */
export const sendKnownLimits = (advertised: AdvertisedLimits, peer: Channel): void => {
  for (const frame of reportFrames({ ...noReports, limits: advertised.limits() })) peer.send(frame)
}

/** Records crashes, completed runs and probes from a peer's frame. Returns those that were new. */
export const recordCrashes = (history: CrashHistory, frame: FrameOf<'crashes'>): Pick<AttemptReports, 'crashes' | 'sound' | 'probes'> => {
  const now = nowMs()
  const crashes = frame.crashes.map(([fingerprint, server, sentAgoMs, endedAgoMs]) => ({ fingerprint, server, sentAt: now - sentAgoMs, endedAt: now - endedAgoMs }))
  const completedRuns = frame.sound.map(([fingerprint, agoMs]) => ({ fingerprint, endedAt: now - agoMs }))
  const probes = (frame.probes ?? []).map(([fingerprint, agoMs]) => ({ fingerprint, at: now - agoMs }))
  return {
    probes: probes.filter(probe => history.recordProbe(probe, now)),
    crashes: crashes.filter(crash => history.recordCrash(crash, now)),
    sound: completedRuns.filter(run => history.sound(run))
  }
}

/** The limits in a peer's frame, with times on this process's clock. */
export const limitsFromFrame = ({ limits = [] }: FrameOf<'crashes'>): AdvertisedLimit[] => {
  const now = nowMs()
  return limits.map(([server, perSecond, sentAgoMs, heardAgoMs]) => ({ server, perSecond: perSecond ?? Infinity, sentAt: now - sentAgoMs, heardAt: now - heardAgoMs }))
}
