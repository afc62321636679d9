/**
 * Whether an entry watches the platform's store itself: a plain function.
 *
 * Load pattern: every call to the store counts, a waiting watch too, and its rates grow more slowly than the fleet. 68
 * entries that watch three kinds each made 4,220 calls in a calm minute. So a few of each failure domain watch, named by
 * the side processes there, and the others are told at once. Two views of who watches cost calls and nothing else; an
 * entry that is in doubt watches.
 */

import type { Appointment } from '@finchpitch/wire'

/** Longer than a watch waits, rests and is heard of through a side process: 1.5 s, 2.4 s and 1.1 s at most. */
const staleMs = 6000

export interface DutyView {
  /** What each side process near that answers last said. */
  appointments: ReadonlyArray<Pick<Appointment, 'watch' | 'outage'>>
  /** All kinds were read, here or by a peer that told all. */
  read: boolean
  /** Since the list of servers was known to be complete. */
  confirmedMs: number
  /** No proof of late that the table is the newest, where one is needed. */
  unproven: boolean
}

export interface Duty {
  watch: boolean
  reason: 'nobody near to name watchers' | 'named' | 'nothing read yet' | 'nothing was confirmed' | 'keys are not confirmed' | 'left to others'
}

export const dutyOf = ({ appointments, read, confirmedMs, unproven }: DutyView): Duty => {
  if (appointments.length === 0) return { watch: true, reason: 'nobody near to name watchers' }
  if (appointments.some(({ watch }) => watch)) return { watch: true, reason: 'named' }
  if (!read) return { watch: true, reason: 'nothing read yet' }
  // In an outage there is nothing to be heard, and every entry that asks is one more call in vain.
  const outage = appointments.some(each => each.outage)
  if (confirmedMs > staleMs && !outage) return { watch: true, reason: 'nothing was confirmed' }
  if (unproven && !outage) return { watch: true, reason: 'keys are not confirmed' }
  return { watch: false, reason: 'left to others' }
}
