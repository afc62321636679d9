/**
 * What an engine has loaded and what it is loading, by key, derived from its status.
 *
 * A side process publishes and decides several times per status, so the result is kept with the status. A status is never modified
 * after it was received or predicted.
 */
import type { LoadedVersions } from '../engine-mirror.js'
import type { EngineStatus } from '../ports.js'
import { refKey } from '../server.js'

export interface LoadedAdapter {
  key: string
  version: number
}

export interface EngineContents {
  /** The loaded models and adapters, each with its version. */
  held: LoadedVersions
  adapters: readonly LoadedAdapter[]
  /** Keys that are being loaded, in the engine's order. */
  coming: readonly string[]
}

const contentsByStatus = new WeakMap<EngineStatus, EngineContents>()

export const contentsOf = (status: EngineStatus): EngineContents => {
  const known = contentsByStatus.get(status)
  if (known !== undefined) return known
  const contents = deriveContents(status)
  contentsByStatus.set(status, contents)
  return contents
}

const deriveContents = ({ models, coming }: EngineStatus): EngineContents => {
  const held = new Map<string, number>()
  const adapters: LoadedAdapter[] = []
  for (const { name, version, adapters: versions } of models) {
    held.set(name, version)
    for (const [adapter, adapterVersion] of Object.entries(versions)) {
      const key = refKey({ model: name, adapter })
      held.set(key, adapterVersion)
      adapters.push({ key, version: adapterVersion })
    }
  }
  return { held, adapters, coming: coming.map(({ key }) => key) }
}

/** Whether both have the same keys with the same versions. */
export const isSameVersions = (a: LoadedVersions, b: LoadedVersions): boolean => {
  if (a === b) return true
  if (a.size !== b.size) return false
  for (const [key, version] of a) if (b.get(key) !== version) return false
  return true
}

export const isSameList = (a: readonly string[], b: readonly string[]): boolean =>
  a === b || (a.length === b.length && a.every((key, index) => key === b[index]))
