/**
 * The order of a queue: class first, then the team that has had least for its weight, then the deadline.
 *
 * The overnight batch ages: once a request has waited `agedMs` it counts as the next better class, so a steady
 * stream of desk work slows it and never starves it.
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

export const rank = (waiting: Waiting, now: number): number => {
  const aged = Math.floor((now - waiting.since) / agedMs)
  return Math.max(0, workClasses.indexOf(waiting.class) - aged)
}

/** What each team has had, per weight; the lowest is served first. */
export class Shares {
  readonly #used = new Map<string, number>()

  /** Takes a team in that has something waiting: it starts level with the least served. */
  join (team: string): void {
    if (!this.#used.has(team)) this.#used.set(team, this.#floor())
  }

  used (team: string): number {
    return this.#used.get(team) ?? this.#floor()
  }

  charge (team: string, weight: number): void {
    this.#used.set(team, this.used(team) + 1 / weight)
  }

  /** Drops the teams that have nothing waiting. */
  keep (teams: ReadonlySet<string>): void {
    for (const team of this.#used.keys()) {
      if (!teams.has(team)) this.#used.delete(team)
    }
  }

  #floor (): number {
    return this.#used.size === 0 ? 0 : Math.min(...this.#used.values())
  }
}

/** Whether `a` goes before `b`. */
export const before = (a: Waiting, b: Waiting, shares: Shares, now: number): boolean => {
  const byClass = rank(a, now) - rank(b, now)
  if (byClass !== 0) return byClass < 0
  const byShare = shares.used(a.team) - shares.used(b.team)
  if (byShare !== 0) return byShare < 0
  return a.deadline < b.deadline
}
