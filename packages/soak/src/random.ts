/**
 * Seeded choices, so that a run can be played again.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export class Dice {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** A whole number from `least` to `most`, both included. */
  between (least: number, most: number): number {
    return uniformInt(this.#generator, least, most)
  }

  pick<T> (items: readonly T[]): T {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('nothing to pick from')
    return item
  }

  chance (percent: number): boolean {
    return this.between(1, 100) <= percent
  }
}
