/**
 * Decides whether an entry watches the platform's store itself. Pure function.
 *
 * The store meters every call, including watch calls that wait, and its rate limits grow more slowly than the fleet. When 68
 * entries each watched three kinds of facts, they made 4,220 calls in a minute without changes. So a few entries of each failure
 * domain watch, appointed by the side processes there, and the others are sent every change at once. If processes disagree about
 * who watches, that only costs calls; an entry in doubt watches.
 */

import type { Appointment } from '@finchpitch/wire'

/** Longer than a watch call waits, pauses, and is reported through a side process: 1.5 s, 2.4 s and 1.1 s at most. */
const staleMs = 6000

export interface WatchDutyInput {
  /** The last appointment from each responsive local side process. */
  appointments: ReadonlyArray<Pick<Appointment, 'watch' | 'outage'>>
  /** Whether every kind of fact has been received completely, from the store or from a peer. */
  hasSynced: boolean
  /** Time since the list of servers was last confirmed to be complete. */
  confirmedMs: number
  /** Whether a recent proof that the routing table is current is needed and missing. */
  lacksProof: boolean
}

export interface WatchDuty {
  watch: boolean
  reason: 'nobody near to name watchers' | 'named' | 'nothing read yet' | 'nothing was confirmed' | 'keys are not confirmed' | 'left to others'
}

export const decideWatchDuty = ({ appointments, hasSynced, confirmedMs, lacksProof }: WatchDutyInput): WatchDuty => {
  if (appointments.length === 0) return { watch: true, reason: 'nobody near to name watchers' }
  if (appointments.some(({ watch }) => watch)) return { watch: true, reason: 'named' }
  if (!hasSynced) return { watch: true, reason: 'nothing read yet' }
  // During an outage the store has nothing to tell, and each further entry that watches only adds calls that fail.
  const outage = appointments.some(each => each.outage)
  if (confirmedMs > staleMs && !outage) return { watch: true, reason: 'nothing was confirmed' }
  if (lacksProof && !outage) return { watch: true, reason: 'keys are not confirmed' }
  return { watch: false, reason: 'left to others' }
}
