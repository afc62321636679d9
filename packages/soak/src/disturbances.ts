/**
 * When which machine was stopped, frozen or cut off: in such a time, bounds that count from what it was told don't hold for it.
 */

interface Disturbance {
  /** The machine's name; `everywhere` where links of any may have been harmed. */
  machine: string
  from: number
  until: number
}

export const everywhere = ''
/** In place of a machine: the store answers nobody, or has just forgotten its history. */
export const storeAway = 'store'

export class Disturbances {
  readonly #all: Disturbance[] = []

  /** `act` disturbs the machine until it resolves. */
  async during (machine: string, act: () => Promise<void>): Promise<void> {
    const disturbance = { machine, from: performance.now(), until: Infinity }
    this.#all.push(disturbance)
    await act()
    disturbance.until = performance.now()
  }

  /** Whether the machine was disturbed at any time from `from` to `until`, on the steady clock. */
  any (machine: string, from: number, until: number): boolean {
    return this.#all.some(each => (each.machine === everywhere || each.machine === machine) && each.from < until && each.until > from)
  }
}
