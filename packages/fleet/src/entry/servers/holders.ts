/**
 * Inverted index of the engines that hold a key, so that a selection checks those few instead of all engines.
 */

const noServers: ReadonlySet<string> = new Set()

export class Holders {
  readonly #byKey = new Map<string, Set<string>>()
  readonly #byServer = new Map<string, ReadonlyMap<string, number>>()

  /** Ids of the engines that hold the key. */
  of (key: string): ReadonlySet<string> {
    return this.#byKey.get(key) ?? noServers
  }

  /** Replaces the keys and versions that one engine holds; `undefined` once the engine is gone. */
  update (id: string, held: ReadonlyMap<string, number> | undefined): void {
    const before = this.#byServer.get(id)
    if (before === held) return
    for (const key of before?.keys() ?? []) if (held?.has(key) !== true) this.#remove(key, id)
    for (const key of held?.keys() ?? []) if (before?.has(key) !== true) this.#add(key, id)
    if (held === undefined) this.#byServer.delete(id)
    else this.#byServer.set(id, held)
  }

  #add (key: string, id: string): void {
    const ids = this.#byKey.get(key)
    if (ids === undefined) this.#byKey.set(key, new Set([id]))
    else ids.add(id)
  }

  #remove (key: string, id: string): void {
    const ids = this.#byKey.get(key)
    ids?.delete(id)
    if (ids?.size === 0) this.#byKey.delete(key)
  }
}
