/**
 * Records the periods in which machines were stopped, suspended or disconnected. Time limits that start when a machine is notified do not
 * apply to it in these periods.
 */

interface Disturbance {
  /** The machine's name, or one of the constants below. */
  machine: string
  from: number
  until: number
}

/** In place of a machine: connections of any machine may have been affected. */
export const anyMachine = ''
/** In place of a machine: the store is unavailable to all machines, or its change history was compacted. */
export const storeOutage = 'store'

export class Disturbances {
  readonly #all: Disturbance[] = []

  /** Records a disturbance of the machine from now until `act` resolves. */
  async during (machine: string, act: () => Promise<void>): Promise<void> {
    const disturbance = { machine, from: performance.now(), until: Infinity }
    this.#all.push(disturbance)
    await act()
    disturbance.until = performance.now()
  }

  /** Whether the machine was disturbed at any time between `from` and `until`, on the monotonic clock. */
  overlaps (machine: string, from: number, until: number): boolean {
    return this.ofMachine(machine, from, until) || this.ofMachine(anyMachine, from, until)
  }

  /** Like `overlaps`, without the disturbances of any machine. */
  ofMachine (machine: string, from: number, until: number): boolean {
    return this.#all.some(each => each.machine === machine && each.from < until && each.until > from)
  }
}
