/**
 * Admission of the requests of a team that is over its quota: which share of the requests to each service gets tokens.
 *
 * Load: a team sends several times its quota, small and large requests mixed, to several services. In a line of requests, one
 * that costs an entry's tokens of half a second keeps all others from theirs. Instead, tokens are divided between services, and
 * each request to a service is admitted with the same probability whatever it costs, so the admitted ones cost what there is.
 */

/** Tokens per second that callers ask for, by service. */
export type ServiceDemand = ReadonlyMap<string, number>

/** The tokens that should be left over, as time in which the quota earns them: enough for the largest requests to find theirs. */
const targetLeftS = 0.1
/** Time in which a difference to the target is made up: two exchanges, since the figures are as old as the last one. */
const correctionS = 0.5
/** Bounds of the correction, as a share of the quota. The demand is an average and may be far off at the start of a surge. */
const correctionRange = { min: 0.2, max: 1.5 }

/** The rate at which to admit: the quota's, more or less as tokens are left or missing (`left` < 0). */
export const admissionRate = (perSecond: number, left: number): number => {
  const rate = perSecond + (left - perSecond * targetLeftS) / correctionS
  return Math.max(perSecond * correctionRange.min, Math.min(perSecond * correctionRange.max, rate))
}

/**
 * Divides the rate between services (max-min): one that asks for less than an equal part gets all of it, and the others share what
 * it leaves. Returns the share of each service's demand that can be served.
 */
export const serviceShares = (demand: ServiceDemand, perSecond: number): Map<string, number> => {
  const shares = new Map<string, number>()
  let left = perSecond
  let services = demand.size
  for (const [service, asked] of [...demand].sort(([, a], [, b]) => a - b)) {
    const part = Math.min(asked, left / services)
    shares.set(service, asked === 0 ? 1 : part / asked)
    left -= part
    services -= 1
  }
  return shares
}

/** Callers that return may take precedence over this many new requests. */
const maxAhead = 10

/** Admits a share of the requests to each service, evenly spread: a request is admitted when the shares add up to a whole one. */
export class ShareAdmission {
  readonly #sums = new Map<string, number>()

  /** Whether a new request is admitted. */
  admits (service: string, share: number): boolean {
    if (share >= 1) return true
    const sum = this.#sumOf(service) + share
    const admitted = sum >= 1
    this.#sums.set(service, admitted ? sum - 1 : sum)
    return admitted
  }

  /** Counts a returning caller's request, which is admitted in place of a new one. */
  admitReturning (service: string): void {
    this.#sums.set(service, Math.max(-maxAhead, this.#sumOf(service) - 1))
  }

  /** The services that are known are forgotten when the team is within its quota. */
  reset (): void {
    this.#sums.clear()
  }

  /** Half a request at the start, so that all entries together begin with the right share. */
  #sumOf (service: string): number {
    return this.#sums.get(service) ?? 0.5
  }
}
