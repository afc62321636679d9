/**
 * Restarts random servers at their addresses before the connections of the former ones have ended, while their responses have neither a
 * length nor chunks, concurrently with all other faults. Their ends may reach an entry late, as entries stand still meanwhile and proxies
 * delay them. The checks on all responses find those that look complete.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import { runOnRandomServers } from './random-servers.js'
import type { SeededRandom } from './seeded-random.js'

const maxPauseMs = 3000
/** Longer than requests take to reach a server and get a part of their response. */
const minUnfinishedMs = 50
const maxUnfinishedMs = 200
const maxEndDelayMs = 300

export class RestartInPlaceScenario {
  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** Runs for `ms`. */
  async run (ms: number): Promise<void> {
    const { fleet, random } = this
    await runOnRandomServers(ms, { fleet, random, maxPauseMs, act: async server => await this.#restart(server) })
  }

  async #restart (server: BackendStandIn): Promise<void> {
    const { fleet, random, log } = this
    server.unframed = true
    server.fault = 'hanging'
    await pause(random.between(minUnfinishedMs, maxUnfinishedMs))
    server.fault = 'none'
    log(`${server.id} restarts in place`)
    const endFormer = await fleet.restartInPlace(server)
    await pause(random.between(0, maxEndDelayMs))
    endFormer()
    server.unframed = false
  }
}
