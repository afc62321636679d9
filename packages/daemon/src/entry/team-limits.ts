/**
 * Limits each team's request rate and number of concurrent requests, separately at each entry.
 */
import { notRun, type Failure, type Team } from '@finchpitch/core'
import { TokenBucket } from '@finchpitch/decisions'
import { err, ok, type Result } from 'neverthrow'

/** Retry hint while a team is at its concurrency limit. */
const concurrencyRetryAfterMs = 500

interface TeamState {
  rate: number
  bucket: TokenBucket
  running: number
}

export class TeamLimits {
  readonly #teams = new Map<string, TeamState>()

  /** Admits one request, or refuses it with a retry hint. The returned function ends the request; further calls do nothing. */
  admit (team: Team): Result<() => void, Failure> {
    const state = this.#stateOf(team)
    if (state.running >= team.limits.concurrency) {
      return err(notRun('team_limit', { detail: `${team.limits.concurrency} requests are in progress.`, retryAfterMs: concurrencyRetryAfterMs }))
    }
    const waitMs = state.bucket.take(Date.now())
    if (waitMs > 0) return err(notRun('team_limit', { detail: `The rate is ${team.limits.rate} a second.`, retryAfterMs: waitMs }))
    state.running += 1
    let released = false
    return ok(() => {
      if (released) return
      released = true
      state.running -= 1
    })
  }

  #stateOf (team: Team): TeamState {
    const known = this.#teams.get(team.name)
    if (known !== undefined && known.rate === team.limits.rate) return known
    const fresh = { rate: team.limits.rate, bucket: new TokenBucket(team.limits.rate, Date.now()), running: known?.running ?? 0 }
    this.#teams.set(team.name, fresh)
    return fresh
  }
}
