/**
 * Copies that an engine is taken to have at hand: adapters that it held and has let go of. It loads them some ten
 * times as fast and without the weight store.
 */

/** Engines keep some hundred; a copy taken to be there that isn't costs a load from the weight store. */
const mostCopies = 80

export class WarmCopies {
  /** Adapter keys with their versions, the latest let go of last. */
  readonly #versions = new Map<string, number>()

  /** The engine has let go of the adapter. */
  keep (key: string, version: number): void {
    this.#versions.delete(key)
    this.#versions.set(key, version)
    if (this.#versions.size > mostCopies) this.#versions.delete(this.#versions.keys().next().value ?? '')
  }

  version (key: string): number | undefined {
    return this.#versions.get(key)
  }

  all (): Array<[key: string, version: number]> {
    return [...this.#versions]
  }

  /** The engine is another one, with nothing at hand. */
  clear (): void {
    this.#versions.clear()
  }
}
