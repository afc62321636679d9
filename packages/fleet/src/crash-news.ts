/**
 * Ends of servers under requests, as processes tell them to each other.
 *
 * Times cross as ages, so no clocks are compared. What lies on its way for long seems to have happened later than it did,
 * which can only let two ends seem to overlap that did not, and so count as one.
 */
import type { Crash, CrashLedger, SoundRun } from '@finchpitch/decisions'
import { mostCrashes, type Channel, type FrameOf } from '@finchpitch/wire'
import { nowMs } from './clock.js'

/** What a process has learned of late, or all that it knows. */
export interface CrashNews {
  crashes: readonly Crash[]
  sound: readonly SoundRun[]
}

/**
 * How long such news may wait for others. Ends are told at once, as the request may be on its way again. That a request is sound
 * concerns only the next end under it; after a domain of engines has ended, some hundred callers' second tries show it.
 */
export const gatherCrashesMs = ({ crashes }: CrashNews, crashesMs: number): number => crashes.length > 0 ? crashesMs : soundMs
const soundMs = 400

export const nothing: CrashNews = { crashes: [], sound: [] }

export const joined = (all: readonly CrashNews[]): CrashNews =>
  ({ crashes: all.flatMap(({ crashes }) => crashes), sound: all.flatMap(({ sound }) => sound) })

export const isEmpty = ({ crashes, sound }: CrashNews): boolean => crashes.length === 0 && sound.length === 0

/** As many frames as it takes. */
export const framesOf = ({ crashes, sound }: CrashNews): Array<FrameOf<'crashes'>> => {
  const now = nowMs()
  const frames: Array<FrameOf<'crashes'>> = []
  for (let from = 0; from < Math.max(crashes.length, sound.length); from += mostCrashes) {
    frames.push({
      type: 'crashes',
      stamp: now + frames.length,
      crashes: crashes.slice(from, from + mostCrashes).map(({ fingerprint, server, sentAt, endedAt }) => [fingerprint, server, Math.max(0, now - sentAt), Math.max(0, now - endedAt)]),
      sound: sound.slice(from, from + mostCrashes).map(({ fingerprint, endedAt }) => [fingerprint, Math.max(0, now - endedAt)])
    })
  }
  return frames
}

/** Tells a peer that has come all that a ledger holds: it may have started anew. */
export const greetWith = (ledger: CrashLedger, peer: Channel): void => {
  for (const frame of framesOf({ crashes: ledger.crashes(nowMs()), sound: [] })) peer.send(frame)
}

/** Takes over what a peer tells; gives what of it was news. */
export const takeCrashes = (ledger: CrashLedger, frame: FrameOf<'crashes'>): CrashNews => {
  const now = nowMs()
  const crashes = frame.crashes.map(([fingerprint, server, sentAgoMs, endedAgoMs]) => ({ fingerprint, server, sentAt: now - sentAgoMs, endedAt: now - endedAgoMs }))
  const sound = frame.sound.map(([fingerprint, agoMs]) => ({ fingerprint, endedAt: now - agoMs }))
  return { crashes: crashes.filter(crash => ledger.crashed(crash, now)), sound: sound.filter(run => ledger.sound(run)) }
}
