/**
 * Has callers with large bodies begin together, of stated and of unknown size, while engines crash. Finds entries that read more at once
 * than their memory allows: the platform kills them.
 */
import { request } from 'node:http'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { randomModel } from './caller.js'
import type { SeededRandom } from './seeded-random.js'

const mb = 1024 * 1024
/** Bodies of one burst together; several times what an entry may keep. */
const burstBytes = 120 * mb
const bodyBytes = [mb / 4, mb, 4 * mb] as const
const deadlineMs = 3000
const paths = ['/again/x', '/stream/x'] as const

export class LargeBodyScenario {
  #count = 0

  constructor (private readonly fleet: FleetSystem, private readonly random: SeededRandom, private readonly log: (line: string) => void) {}

  /** Runs for `ms`; resolves once all callers have been answered. */
  async run (ms: number): Promise<void> {
    const endsAt = performance.now() + ms
    while (performance.now() < endsAt) {
      await pause(this.random.between(500, 3000))
      const body = Buffer.alloc(this.random.pick(bodyBytes))
      const callers = Math.floor(burstBytes / body.length * this.random.between(20, 100) / 100)
      const entry = this.random.between(0, this.fleet.entries.length - 1)
      const isSized = this.random.chance(60)
      const path = this.random.pick(paths)
      this.log(`${callers} callers of entry ${entry} send ${body.length} bytes each, ${isSized ? 'with' : 'without'} a stated size, to ${path}`)
      await Promise.all(Array.from({ length: callers }, async () => await this.#send(entry, path, body, isSized)))
    }
  }

  async #send (entry: number, path: string, body: Buffer, isSized: boolean): Promise<void> {
    const headers = { host: 'fleet.example', 'request-id': `large-${this.#count++}`, 'deadline-ms': String(deadlineMs), ...(path === '/stream/x' ? randomModel(this.random) : {}), ...(isSized ? { 'content-length': body.length } : { 'transfer-encoding': 'chunked' }) }
    await new Promise<void>(resolve => {
      const outgoing = request({ ...this.fleet.callerAddress(entry), agent: false, method: 'POST', path, headers }, response => {
        response.on('error', () => {}).on('close', () => { outgoing.destroy(); resolve() }).resume()
      })
      outgoing.setTimeout(2 * deadlineMs, () => outgoing.destroy())
      outgoing.on('error', () => resolve()).on('close', () => resolve())
      outgoing.end(body)
    })
  }
}
