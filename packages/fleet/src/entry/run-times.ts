/**
 * How long runs of each route last, from the first event to the last: so long do they hold their adapter's place.
 */
import { Estimate } from '@finchpitch/decisions'

/** Before any run of the route was seen. */
const startMs = 500

export class RunTimes {
  readonly #routes = new Map<string, Estimate>()

  ended (route: string, ms: number): void {
    const known = this.#routes.get(route) ?? new Estimate(startMs)
    this.#routes.set(route, known)
    known.add(ms)
  }

  usualMs (route: string): number {
    return this.#routes.get(route)?.value ?? startMs
  }
}
