/**
 * Sends requests that share a part of their prompts under which engines crash, no two alike and to any entry, amid sound requests, while
 * one process is killed and started again.
 */
import type { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { send, type RequestResult } from './caller.js'
import type { SeededRandom } from './seeded-random.js'

const badPart = 'bad0'
const firstPart = 'f1'
const companionPart = 'c0'
const durationMs = 9000
const intervalMs = 150
/** Entries in contact with each other know of a crash after this time. */
const contactMs = 3000
const maxCrashes = 5
/** Requests with the part that may reach engines later than this after so many crashes. */
const maxLateRuns = 3
const path = '/stream/s'

export interface CrashingPartOptions {
  fleet: FleetSystem
  random: SeededRandom
  agents: readonly Agent[]
  seed: number
}

/** Returns a violation if the part was sent to engines after it was known to crash them. */
export const sendCrashingPart = async ({ fleet, random, agents, seed }: CrashingPartOptions): Promise<string[]> => {
  for (const engine of fleet.engines) engine.crashParts = new Set([badPart])
  const idPrefix = `soak-${seed}-part-`
  const results: Array<Promise<RequestResult>> = []
  const sendWith = (id: string, parts: readonly string[]): void => {
    const entry = random.between(0, fleet.entries.length - 1)
    const prompt = [...parts, results.length.toString(16)].map(part => `${part}:100`).join(',')
    results.push(send(fleet, agents, { id, path: `${path}?${results.length}`, entry, headers: { model: 'base', 'prompt-prefix': prompt } }))
  }
  const disturbed = disturb(fleet, random)
  for (const endsAt = performance.now() + durationMs; performance.now() < endsAt; await pause(intervalMs)) {
    const beside = random.between(0, 1) === 1 ? [companionPart] : []
    sendWith(`${idPrefix}${results.length}`, [firstPart, ...beside, badPart])
    sendWith(`soak-${seed}-sound-${results.length}`, [firstPart, companionPart])
  }
  await disturbed
  await Promise.all(results)
  for (const engine of fleet.engines) engine.crashParts = new Set()
  const runs = fleet.engines.flatMap(engine => engine.arrivals).filter(({ id, refused }) => !refused && id.startsWith(idPrefix)).map(({ at }) => at).sort((a, b) => a - b)
  const late = runs.filter(at => at > (runs[maxCrashes - 1] ?? Infinity) + contactMs)
  return late.length <= maxLateRuns ? [] : [`requests with a part that crashes engines ran ${runs.length} times, ${late.length} of them late`]
}

/** Kills a process at a random moment and starts it again. */
const disturb = async (fleet: FleetSystem, random: SeededRandom): Promise<void> => {
  const machine = random.pick([...fleet.entries, ...fleet.sides])
  await pause(random.between(500, 4000))
  await fleet.kill(machine)
  await pause(random.between(0, 1000))
  await fleet.startProcess(machine)
}
