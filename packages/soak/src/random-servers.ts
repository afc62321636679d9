/**
 * Has random backend servers behave differently for a while, with one behaviour per server at a time.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { SeededRandom } from './seeded-random.js'

const minPauseMs = 200

export interface RandomServersOptions {
  fleet: FleetSystem
  random: SeededRandom
  /** The longest pause before the next server is picked. */
  maxPauseMs: number
  /** Changes a server's behaviour; resolves once the server is back to normal. */
  act: (server: BackendStandIn) => Promise<void>
}

/** Picks servers for `ms`; resolves once all are back to normal. Skips a server that is still in use. */
export const runOnRandomServers = async (ms: number, { fleet, random, maxPauseMs, act }: RandomServersOptions): Promise<void> => {
  const endsAt = performance.now() + ms
  const inUse = new Set<BackendStandIn>()
  const runs: Array<Promise<void>> = []
  while (performance.now() < endsAt) {
    await pause(random.between(minPauseMs, maxPauseMs))
    const server = random.pick([...fleet.engines, ...fleet.plainServers])
    if (inUse.has(server)) continue
    inUse.add(server)
    runs.push(act(server).then(() => { inUse.delete(server) }))
  }
  await Promise.all(runs)
}
