/**
 * Has engines and plain servers run at unlike paces and slow down by turns, concurrently with all other faults. A server may become so
 * slow that requests which it already runs exceed their deadlines: those that may run at most once must not run again at a quicker one,
 * and none of them may be answered as not run. `checkResponses` checks both.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { SeededRandom } from './seeded-random.js'
import { runOnRandomServers } from './random-servers.js'

const usualSlowdowns = [0.5, 1, 2]
/** Factors for some time. With the last one, plain responses take from a third of their deadline to more than all of it. */
const temporarySlowdowns = [2.5, 20, 80]

export class UnevenPaceScenario {
  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** Runs for `ms`; resolves once all servers run at their usual paces, which still differ. */
  async run (ms: number): Promise<void> {
    for (const server of [...this.fleet.engines, ...this.fleet.plainServers]) server.slowdown = this.random.pick(usualSlowdowns)
    await runOnRandomServers(ms, { fleet: this.fleet, random: this.random, maxPauseMs: 800, act: async server => await this.#slowDown(server) })
  }

  async #slowDown (server: BackendStandIn): Promise<void> {
    const usual = server.slowdown
    server.slowdown = usual * this.random.pick(temporarySlowdowns)
    this.log(`${server.id} takes ${server.slowdown} times as long`)
    await pause(this.random.between(300, 1500))
    server.slowdown = usual
  }
}
