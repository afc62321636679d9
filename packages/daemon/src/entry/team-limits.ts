/**
 * Limits per team: a rate and a number of requests in progress, at one entry.
 */
import { notRun, type Failure, type Team } from '@finchpitch/core'
import { TokenBucket } from '@finchpitch/decisions'
import { err, ok, type Result } from 'neverthrow'

/** How soon to ask again when too many are in progress. */
const concurrencyRetryMs = 500

interface TeamUse {
  rate: number
  limit: TokenBucket
  running: number
}

export class TeamLimits {
  readonly #teams = new Map<string, TeamUse>()

  /** Admits one request; the function given back ends it. */
  enter (team: Team): Result<() => void, Failure> {
    const use = this.#use(team)
    if (use.running >= team.limits.concurrency) {
      return err(notRun('team_limit', { detail: `${team.limits.concurrency} requests are in progress.`, retryAfterMs: concurrencyRetryMs }))
    }
    const waitMs = use.limit.take(Date.now())
    if (waitMs > 0) return err(notRun('team_limit', { detail: `The rate is ${team.limits.rate} a second.`, retryAfterMs: waitMs }))
    use.running += 1
    let left = false
    return ok(() => {
      if (left) return
      left = true
      use.running -= 1
    })
  }

  #use (team: Team): TeamUse {
    const known = this.#teams.get(team.name)
    if (known !== undefined && known.rate === team.limits.rate) return known
    const fresh = { rate: team.limits.rate, limit: new TokenBucket(team.limits.rate, Date.now()), running: known?.running ?? 0 }
    this.#teams.set(team.name, fresh)
    return fresh
  }
}
