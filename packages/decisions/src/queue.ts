/**
 * The order of queued requests: by priority class, then by the usage of the team in proportion to its weight, then by deadline.
 *
 * Requests age: for each `agingIntervalMs` that a request has waited, it counts as one class higher. A steady stream of interactive
 * requests therefore delays the overnight batch but can't starve it.
 */
import { workClasses, type WorkClass } from '@finchpitch/core'

export const agedMs = 30_000

export interface Waiting {
  team: string
  class: WorkClass
  since: number
  /** When its caller stops waiting. */
  deadline: number
}

/** The class of a request after aging; 0 is served first. */
export const rank = (request: Waiting, now: number): number => {
  const agedBy = Math.floor((now - request.since) / agedMs)
  return Math.max(0, workClasses.indexOf(request.class) - agedBy)
}

/** Requests served for each team, divided by its weight; the team with the lowest number is served first. */
export class Shares {
  readonly #usage = new Map<string, number>()

  /** Adds a team that has a request in the queue. It starts with the lowest usage of any team, so its idle time earns it no lead. */
  join (team: string): void {
    if (!this.#usage.has(team)) this.#usage.set(team, this.#lowest())
  }

  used (team: string): number {
    return this.#usage.get(team) ?? this.#lowest()
  }

  /** Counts one served request. */
  charge (team: string, weight: number): void {
    this.#usage.set(team, this.used(team) + 1 / weight)
  }

  /** Removes all teams but those given. */
  keep (teams: ReadonlySet<string>): void {
    for (const team of this.#usage.keys()) {
      if (!teams.has(team)) this.#usage.delete(team)
    }
  }

  #lowest (): number {
    return this.#usage.size === 0 ? 0 : Math.min(...this.#usage.values())
  }
}

/** Whether `a` is served before `b`. */
export const before = (a: Waiting, b: Waiting, shares: Shares, now: number): boolean => {
  const byClass = rank(a, now) - rank(b, now)
  if (byClass !== 0) return byClass < 0
  const byUsage = shares.used(a.team) - shares.used(b.team)
  if (byUsage !== 0) return byUsage < 0
  return a.deadline < b.deadline
}
