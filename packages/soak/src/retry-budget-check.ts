/**
 * Finds windows in which servers received more retries than the retry budget of all entries together allows, whatever was restarted.
 */
import type { BackendStandIn } from '@finchpitch/stand-ins'
import type { RequestResult } from './caller.js'

/** The settings of the fleet's processes that bound retries. */
export interface RetryBounds {
  retryBudgetRatio: number
  budgetWindowS: number
  retrySlack: number
}

/** `servers`: all servers of one service. `results`: the requests that callers sent to it, as far as they are known. */
export const retryBudgetViolations = (service: string, servers: readonly BackendStandIn[], results: readonly RequestResult[], { retryBudgetRatio, budgetWindowS, retrySlack }: RetryBounds): string[] => {
  const windowMs = budgetWindowS * 1000
  const arrivals = servers.flatMap(server => server.arrivals).sort((a, b) => a.at - b.at)
  const sentAt = new Map(results.map(result => [result.id, result.sentAt]))
  const retries: number[] = []
  const arrived = new Set<string>()
  for (const { id, at } of arrivals) {
    if (arrived.has(id)) retries.push(at)
    arrived.add(id)
    if (!sentAt.has(id)) sentAt.set(id, at)
  }
  const requests = [...sentAt.values()]
  // A window's requests are those of whichever has most: the window itself, the one before it, and the one half a window before it.
  const allowed = (from: number): number => retryBudgetRatio * Math.max(...[0, windowMs / 2, windowMs].map(before => countIn(requests, from - before, windowMs))) + retrySlack
  const exceeded = retries.map(from => ({ from, count: countIn(retries, from, windowMs), allowed: allowed(from) })).filter(each => each.count > each.allowed)
  return exceeded.slice(0, 1).map(each => `${service}: ${each.count} retries within ${windowMs} ms, ${Math.floor(each.allowed)} allowed; in ${exceeded.length} windows`)
}

const countIn = (times: readonly number[], from: number, windowMs: number): number => times.filter(at => at >= from && at < from + windowMs).length
