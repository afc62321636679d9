/**
 * Has callers leave before their responses, concurrently with all other faults, also while their entry stands still. Finds requests
 * that reach servers long after their callers have left.
 */
import { request } from 'node:http'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { defaultRemainingMs } from './caller.js'
import { anyMachine, type Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'

const path = '/again/x'
const maxIntervalMs = 60
const maxPatienceMs = 400
/** A request that reaches a server later than this after its caller has left is late. */
const lateMs = 500
/** More late requests than this are a violation. */
const maxLate = 3

export class LeavingCallerScenario {
  /** When the caller of each request left, on the monotonic clock. */
  readonly #leftAt = new Map<string, number>()

  constructor (private readonly options: { fleet: FleetSystem, random: SeededRandom, disturbances: Disturbances }) {}

  /** Runs for `ms`. */
  async run (ms: number): Promise<void> {
    const { random } = this.options
    const endsAt = performance.now() + ms
    for (let each = 0; performance.now() < endsAt; each++) {
      this.#send(`leaving-${each}`, random.between(0, this.options.fleet.entries.length - 1), random.between(5, maxPatienceMs))
      await pause(random.between(1, maxIntervalMs))
    }
    await pause(maxPatienceMs)
  }

  #send (id: string, entry: number, patienceMs: number): void {
    const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(defaultRemainingMs) }
    const outgoing = request({ ...this.options.fleet.callerAddress(entry), agent: false, method: 'POST', path, headers }, response => {
      response.on('error', () => {}).resume()
    })
    outgoing.on('error', () => {}).end('{}')
    setTimeout(() => {
      this.#leftAt.set(id, performance.now())
      outgoing.destroy()
    }, patienceMs)
  }

  /** What a connection fault withholds arrives later, whatever the entry does. */
  violations (): string[] {
    const { fleet, disturbances } = this.options
    const late = fleet.plainServers.flatMap(server => server.arrivals).flatMap(({ id, at }) => {
      const leftAt = this.#leftAt.get(id)
      if (leftAt === undefined || at - leftAt <= lateMs || disturbances.overlaps(anyMachine, leftAt, at)) return []
      return [`${id} ${Math.round(at - leftAt)} ms`]
    })
    return late.length <= maxLate ? [] : [`requests reached servers after their callers had left: ${late.join(', ')}`]
  }
}
