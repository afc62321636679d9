/**
 * How long a request of each route occupies a slot of a plain service: the work by which plain requests of teams are compared.
 */
import { MovingAverage } from '@finchpitch/decisions'

/** Assumed for a route until its first response. Only ratios between routes of the same service matter. */
const initialMs = 50

export class SlotTimes {
  readonly #routes = new Map<string, MovingAverage>()

  /** Expected time of a request of the route. */
  of (route: string): number {
    return this.#routes.get(route)?.value ?? initialMs
  }

  /** Records the response time of a request. */
  record (route: string, ms: number): void {
    const average = this.#routes.get(route)
    if (average === undefined) this.#routes.set(route, new MovingAverage(ms))
    else average.add(ms)
  }
}
