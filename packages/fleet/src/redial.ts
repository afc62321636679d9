/**
 * Keeping a connection to a side process: dialled again, with backoff, for as long as it is needed.
 */
import type { Duplex } from 'node:stream'
import { backoff, pause, type Log } from '@finchpitch/core'

const redialSpan = { firstMs: 100, limitMs: 1000 }

export interface Redialling {
  /** Of both the peer's machine and its log lines. */
  host: string
  dial: () => Promise<Duplex>
  /** One connection, from its start to its end; gives the reason of the end. */
  talk: (stream: Duplex) => Promise<string>
  needed: () => boolean
  signal: AbortSignal
  log: Log
  /** What log lines call the peer. */
  peer: 'side' | 'relay'
}

/** Until the connection is no longer needed, or `signal` aborts. */
export const redial = async ({ host, dial, talk, needed, signal, log, peer }: Redialling): Promise<void> => {
  const wanted = (): boolean => !signal.aborted && needed()
  let failures = 0
  while (wanted()) {
    try {
      const reason = await talk(await dial())
      failures = 0
      if (wanted()) log.warn(`${peer}.lost`, { host, reason })
    } catch (error) {
      if (failures === 0) log.warn(`${peer}.unreachable`, { host, detail: (error as Error).message })
    }
    failures += 1
    await pause(backoff(failures - 1, Math.random, redialSpan), signal)
  }
}
