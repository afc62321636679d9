/**
 * A seeded random number generator, so that a run can be repeated.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export class SeededRandom {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer from `min` to `max`, both inclusive. */
  between (min: number, max: number): number {
    return uniformInt(this.#generator, min, max)
  }

  pick<T> (items: readonly T[]): T {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('nothing to pick from')
    return item
  }

  /** Returns true with a probability of `percent` in 100. */
  chance (percent: number): boolean {
    return this.between(1, 100) <= percent
  }
}
