/**
 * Adapters that an engine has unloaded and is assumed to still have cached locally. It reloads these about ten times as fast, and
 * without using the weight store.
 */

/** Engines cache about a hundred. Assuming a copy that is no longer cached costs a load from the weight store. */
const maxCopies = 80

export class WarmCopies {
  /** Versions by adapter key; the most recently unloaded one is last. */
  readonly #versions = new Map<string, number>()

  /** Records that the engine has unloaded the adapter. */
  add (key: string, version: number): void {
    this.#versions.delete(key)
    this.#versions.set(key, version)
    if (this.#versions.size > maxCopies) this.#versions.delete(this.#versions.keys().next().value ?? '')
  }

  version (key: string): number | undefined {
    return this.#versions.get(key)
  }

  all (): Array<[key: string, version: number]> {
    return [...this.#versions]
  }

  /** Drops all copies, after the engine was replaced or restarted. */
  clear (): void {
    this.#versions.clear()
  }
}
