/**
 * The software versions that the servers of a service may have run within a window, from listings that may have gaps.
 *
 * Load: servers of several versions beside each other, while streams that one of them began are taken up at any entry. A stream may
 * go on only at its own version. Which one that is has to be recorded only while it can't be told from the history: for a service that
 * had one version throughout the window, all streams are of that version.
 */

/** How long a version was listed; `until` is `Infinity` while it is. */
interface Span {
  from: number
  until: number
}

export interface VersionHistoryOptions {
  /** Longer than a stream may last from its first event until its caller takes it up. */
  windowMs: number
  /** A list that was confirmed no longer ago than this counts as followed without a gap. */
  maxGapMs: number
}

export class VersionHistory {
  readonly #spans = new Map<string, Span>()
  /** Since when the list has been followed without a gap; `Infinity` before it is confirmed. */
  #followedSince = Infinity
  #confirmedAt = -Infinity

  constructor (private readonly options: VersionHistoryOptions) {}

  /** The list was known to be complete at this time. */
  confirm (at: number): void {
    if (at <= this.#confirmedAt) return
    if (at - this.#confirmedAt > this.options.maxGapMs) this.#followedSince = at
    this.#confirmedAt = at
  }

  /** The versions that are listed from now on. */
  list (versions: ReadonlySet<string>, now: number): void {
    for (const [version, span] of this.#spans) {
      if (span.until === Infinity && !versions.has(version)) span.until = now
      if (span.until < now - this.options.windowMs) this.#spans.delete(version)
    }
    for (const version of versions) {
      const span = this.#spans.get(version)
      if (span === undefined) this.#spans.set(version, { from: now, until: Infinity })
      else span.until = Infinity
    }
  }

  /** Whether a stream that begins now may turn out to be of any of several versions, so that its version has to be recorded. */
  needsRecords (now: number): boolean {
    return !this.#coversWindow(now) || this.#servedWithin(now).length !== 1
  }

  /**
   * The version of a stream that nobody has recorded: it began while only one version was listed, which is the only one at the start of
   * the window. `undefined` if there is none, or if the history does not reach that far.
   */
  unrecorded (now: number): string | undefined {
    if (!this.#coversWindow(now)) return undefined
    const windowStart = now - this.options.windowMs
    const then = this.#servedWithin(now).filter(version => (this.#spans.get(version)?.from ?? now) <= windowStart)
    return then.length === 1 ? then[0] : undefined
  }

  /** The only version of the window; `undefined` if there were several, or if the history does not reach that far. */
  single (now: number): string | undefined {
    return this.needsRecords(now) ? undefined : this.#servedWithin(now)[0]
  }

  #servedWithin (now: number): string[] {
    return [...this.#spans].filter(([, { until }]) => until >= now - this.options.windowMs).map(([version]) => version)
  }

  #coversWindow (now: number): boolean {
    return now - this.#confirmedAt <= this.options.maxGapMs && now - this.#followedSince >= this.options.windowMs
  }
}
