/**
 * A retry budget over a sliding window: repeats are limited to a share of the first tries of the same window, and a
 * slack that lets single failures through when there is little traffic.
 */

export interface RetryShare {
  /** Repeats for each first try. */
  ratio: number
  /** Repeats allowed a window whatever the traffic. */
  slack: number
  windowMs: number
}

interface Bucket {
  at: number
  firsts: number
  repeats: number
}

/** The window is counted in this many pieces; one more is kept, so the count is never over less than the window. */
const pieces = 20

export class RetryWindow {
  #buckets: Bucket[] = []

  first (now: number, windowMs: number): void {
    this.#bucket(now, windowMs).firsts += 1
  }

  /** Takes one repeat, if the window has one left. */
  repeat (now: number, { ratio, slack, windowMs }: RetryShare): boolean {
    const bucket = this.#bucket(now, windowMs)
    const firsts = this.#buckets.reduce((sum, each) => sum + each.firsts, 0)
    const repeats = this.#buckets.reduce((sum, each) => sum + each.repeats, 0)
    if (repeats + 1 > ratio * firsts + slack) return false
    bucket.repeats += 1
    return true
  }

  #bucket (now: number, windowMs: number): Bucket {
    const length = windowMs / pieces
    this.#buckets = this.#buckets.filter(each => now - each.at < windowMs + length)
    const last = this.#buckets.at(-1)
    if (last !== undefined && now - last.at < length) return last
    const bucket = { at: now, firsts: 0, repeats: 0 }
    this.#buckets.push(bucket)
    return bucket
  }
}
