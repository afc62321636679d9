/**
 * Has random backend servers behave differently for a while, with one behaviour per server at a time.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { Dice } from './random.js'

const minPauseMs = 200

export interface SpeakersOptions {
  fleet: FleetSystem
  dice: Dice
  /** The longest pause before the next server is picked. */
  mostRestMs: number
  /** Changes a server's behaviour; resolves once the server is back to normal. */
  speak: (server: BackendStandIn) => Promise<void>
}

/** Picks servers for `ms`; resolves once all are back to normal. Skips a server that is still in use. */
export const haveServersSpeak = async (ms: number, { fleet, dice: random, mostRestMs: maxPauseMs, speak: act }: SpeakersOptions): Promise<void> => {
  const endsAt = performance.now() + ms
  const inUse = new Set<BackendStandIn>()
  const runs: Array<Promise<void>> = []
  while (performance.now() < endsAt) {
    await pause(random.between(minPauseMs, maxPauseMs))
    const server = random.pick([...fleet.engines, ...fleet.plain])
    if (inUse.has(server)) continue
    inUse.add(server)
    runs.push(act(server).then(() => { inUse.delete(server) }))
  }
  await Promise.all(runs)
}
