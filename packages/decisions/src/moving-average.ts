/**
 * An exponentially weighted moving average of durations.
 */

/** Weight of the latest sample. */
const smoothing = 0.2

export class MovingAverage {
  #value: number

  constructor (initial: number) {
    this.#value = initial
  }

  get value (): number {
    return this.#value
  }

  add (sample: number): void {
    this.#value += smoothing * (sample - this.#value)
  }
}
