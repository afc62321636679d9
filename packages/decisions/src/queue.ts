/**
 * The order of queued requests: by priority class, then by the usage of the team in proportion to its weight, then by deadline.
 *
 * Requests age: for each `agingIntervalMs` that a request has waited, it counts as one class higher. A steady stream of interactive
 * requests therefore delays the overnight batch but can't starve it.
 */
import { workClasses, type WorkClass } from '@finchpitch/core'

export const agingIntervalMs = 30_000

export interface QueuedWork {
  team: string
  class: WorkClass
  enqueuedAt: number
  /** When its caller stops waiting. */
  deadline: number
}

/** The class of a request after aging; 0 is served first. */
export const rank = (request: QueuedWork, now: number): number => {
  const agedBy = Math.floor((now - request.enqueuedAt) / agingIntervalMs)
  return Math.max(0, workClasses.indexOf(request.class) - agedBy)
}

/** Requests served for each team, divided by its weight; the team with the lowest number is served first. */
export class TeamUsage {
  readonly #usage = new Map<string, number>()

  /** Adds a team that has a request in the queue. It starts with the lowest usage of any team, so its idle time earns it no lead. */
  addTeam (team: string): void {
    if (!this.#usage.has(team)) this.#usage.set(team, this.#lowest())
  }

  usageOf (team: string): number {
    return this.#usage.get(team) ?? this.#lowest()
  }

  /** Counts one served request. */
  charge (team: string, weight: number): void {
    this.#usage.set(team, this.usageOf(team) + 1 / weight)
  }

  /** Removes all teams but those given. */
  retainTeams (teams: ReadonlySet<string>): void {
    for (const team of this.#usage.keys()) {
      if (!teams.has(team)) this.#usage.delete(team)
    }
  }

  #lowest (): number {
    return this.#usage.size === 0 ? 0 : Math.min(...this.#usage.values())
  }
}

/** Whether `a` is served before `b`. */
export const precedes = (a: QueuedWork, b: QueuedWork, usage: TeamUsage, now: number): boolean => {
  const byClass = rank(a, now) - rank(b, now)
  if (byClass !== 0) return byClass < 0
  const byUsage = usage.usageOf(a.team) - usage.usageOf(b.team)
  if (byUsage !== 0) return byUsage < 0
  return a.deadline < b.deadline
}
