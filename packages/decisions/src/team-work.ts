/**
 * The work that each team caused lately, by which waiting requests are ordered so that teams get capacity in equal parts.
 *
 * Load: more requests than capacity, with one team sending most of them. Work of requests that found free capacity counts too, as
 * otherwise a team would gain by sending when others do not. Amounts decay, so a team that sent much some seconds ago is served
 * like others again.
 */
import { DecayingSum } from './decaying-sum.js'

/** A team is held back after a flood, and preferred after a pause, for some seconds at most. */
const halfLifeMs = 2000
/** A team with less than this part of the work of all is not counted among those that share the capacity. */
const negligibleShare = 0.001

export class TeamWork {
  readonly #teams = new Map<string, DecayingSum>()
  readonly #total = new DecayingSum(halfLifeMs)

  add (team: string, work: number, now: number): void {
    let sum = this.#teams.get(team)
    if (sum === undefined) {
      this.#removeNegligible(now)
      sum = new DecayingSum(halfLifeMs)
      this.#teams.set(team, sum)
    }
    sum.add(work, now)
    this.#total.add(work, now)
  }

  of (team: string, now: number): number {
    return this.#teams.get(team)?.at(now) ?? 0
  }

  /** The work that a team may have caused lately without having had more than its share; `Infinity` if there is only one team. */
  share (now: number): number {
    return this.#teams.size < 2 ? Infinity : this.#total.at(now) / this.#teams.size
  }

  #removeNegligible (now: number): void {
    const least = this.#total.at(now) * negligibleShare
    for (const [team, sum] of this.#teams) if (sum.at(now) <= least) this.#teams.delete(team)
  }
}
