/**
 * The order of the requests that wait for one service: by rank, then by the work of the team, then returning callers, then arrival.
 *
 * Load: more requests than capacity, with one team sending most of them. Of the requests with the same rank, the one goes first whose
 * team has caused the least work lately, counting the team's requests that go before it as done.
 *
 * Waiting lowers a rank, so a flooding team would get before the new requests of others by having many that wait. A request beyond
 * its team's share therefore does not gain by waiting.
 */
import type { TeamWork } from './team-work.js'

export interface WaitingRequest {
  team: string
  work: number
  returning: boolean
  queuedAt: number
  /** Its rank at present, and the one that it has without the urgency gained by waiting; the lowest goes first. */
  currentRank: number
  patientRank: number
  /** Set by `orderWaiting`: the rank by which it was ordered, and the work of its team before it. */
  orderRank: number
  workBefore: number
}

/** Whether `a` goes before `b` of the same team, other things being equal. */
const byArrival = (a: WaitingRequest, b: WaitingRequest): number => Number(b.returning) - Number(a.returning) || a.queuedAt - b.queuedAt

const byPlace = (a: WaitingRequest, b: WaitingRequest): number => a.orderRank - b.orderRank || a.workBefore - b.workBefore || byArrival(a, b)

/** Sorts the requests in place. */
export const orderWaiting = (requests: WaitingRequest[], work: TeamWork, now: number): void => {
  if (requests.length < 2) return
  requests.sort((a, b) => a.currentRank - b.currentRank || byArrival(a, b))
  const before = new Map<string, number>()
  for (const request of requests) {
    request.workBefore = before.get(request.team) ?? work.of(request.team, now)
    request.orderRank = request.currentRank
    before.set(request.team, request.workBefore + request.work)
  }
  if (before.size < 2) return
  const share = work.share(now)
  for (const request of requests) if (request.workBefore > share) request.orderRank = Math.max(request.currentRank, request.patientRank)
  requests.sort(byPlace)
}
