/**
 * Servers that say something of themselves for a while, each one thing at a time.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FleetSystem } from '@finchpitch/stand-ins'
import type { Dice } from './random.js'

const leastRestMs = 200

export interface SpeakersOptions {
  fleet: FleetSystem
  dice: Dice
  /** The longest rest before the next one begins to speak. */
  mostRestMs: number
  /** What a server does, until it is as before. */
  speak: (server: BackendStandIn) => Promise<void>
}

/** Has servers speak for `ms`; resolves once all are as before. */
export const haveServersSpeak = async (ms: number, { fleet, dice, mostRestMs, speak }: SpeakersOptions): Promise<void> => {
  const until = performance.now() + ms
  const speaking = new Set<BackendStandIn>()
  const spoken: Array<Promise<void>> = []
  while (performance.now() < until) {
    await pause(dice.between(leastRestMs, mostRestMs))
    const server = dice.pick([...fleet.engines, ...fleet.plain])
    if (speaking.has(server)) continue
    speaking.add(server)
    spoken.push(speak(server).then(() => { speaking.delete(server) }))
  }
  await Promise.all(spoken)
}
