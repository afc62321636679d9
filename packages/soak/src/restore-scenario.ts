/**
 * Restores the store from a backup that is a few seconds old, concurrently with the other faults, and then repeats
 * the lost writes as the operator and the servers would. Guards against processes that do not recover when the store loses
 * writes and reuses their revisions.
 */
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { storeOutage, type Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'

export interface RestoreScenarioOptions {
  fleet: FleetSystem
  random: SeededRandom
  disturbances: Disturbances
  log: (line: string) => void
}

export class RestoreScenario {
  constructor (private readonly options: RestoreScenarioOptions) {}

  /** Takes the backup in the first half of `ms`, in half of all runs; resolves once the lost writes have been repeated. */
  async run (ms: number): Promise<void> {
    const { fleet: { store }, random, disturbances, log } = this.options
    // Late changes are excused during an outage of the store, so half of the runs have none from a restore.
    if (!random.chance(50)) return
    await pause(random.between(0, Math.floor(ms / 2)))
    const backup = store.backup()
    await pause(random.between(300, 2000))
    await disturbances.during(storeOutage, async () => {
      store.fault = random.pick(['busy', 'reset', 'silent'] as const)
      await pause(random.between(100, 1500))
      const lost = store.restore(backup)
      log(`store restored from backup, ${lost.length} writes lost`)
      store.fault = 'none'
      await pause(random.between(0, 1000))
      store.repeatWrites(lost)
    })
  }
}
