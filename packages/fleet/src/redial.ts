/**
 * Keeping a connection to a side process: dialled again, with backoff, for as long as it is needed.
 */
import type { Duplex } from 'node:stream'
import { backoff, pause, type Log } from '@finchpitch/core'
import type { ChannelOptions } from '@finchpitch/wire'
import type { Facts } from './facts.js'

const redialSpan = { firstMs: 100, limitMs: 1000 }

/** What connections to side processes need. */
export interface SidePeering {
  facts: Facts
  /** Where side processes listen, on all machines. */
  sidePort: number
  channel: ChannelOptions
  dial: (address: string) => Promise<Duplex>
  log: Log
}

export interface Redialling {
  /** Of both the peer's machine and its log lines. */
  host: string
  peering: SidePeering
  /** One connection, from its start to its end; gives the reason of the end. */
  talk: (stream: Duplex) => Promise<string>
  needed: () => boolean
  signal: AbortSignal
  /** What log lines call the peer. */
  peer: 'side' | 'relay'
}

/** Until the connection is no longer needed, or `signal` aborts. */
export const redial = async ({ host, peering, talk, needed, signal, peer }: Redialling): Promise<void> => {
  const { dial, sidePort, log } = peering
  const wanted = (): boolean => !signal.aborted && needed()
  let failures = 0
  while (wanted()) {
    try {
      const reason = await talk(await dial(`${host}:${sidePort}`))
      failures = 0
      if (wanted()) log.warn(`${peer}.lost`, { host, reason })
    } catch (error) {
      if (failures === 0) log.warn(`${peer}.unreachable`, { host, detail: (error as Error).message })
    }
    failures += 1
    await pause(backoff(failures - 1, Math.random, redialSpan), signal)
  }
}
