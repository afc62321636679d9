/**
 * Keeps a connection to a side process open: reconnects with backoff for as long as the connection is needed.
 */
import type { Duplex } from 'node:stream'
import { backoff, pause, type Log } from '@finchpitch/core'
import type { ChannelOptions } from '@finchpitch/wire'
import type { Facts } from './facts.js'

const reconnectBackoff = { firstMs: 100, limitMs: 1000 }

/** Options shared by all connections to side processes. */
export interface SideConnectionOptions {
  facts: Facts
  /** The port on which side processes listen, the same on all machines. */
  sidePort: number
  channel: ChannelOptions
  dial: (address: string) => Promise<Duplex>
  log: Log
}

export interface ReconnectOptions {
  /** The peer's host; also the `host` field of log lines. */
  host: string
  connection: SideConnectionOptions
  /** Runs one connection until it ends. Returns the reason. */
  runSession: (stream: Duplex) => Promise<string>
  /** Whether the connection is still needed. */
  needed: () => boolean
  signal: AbortSignal
  /** The peer's kind, the prefix of log events. */
  peer: 'side' | 'relay'
}

/** Keeps the connection open until it is no longer needed or `signal` aborts. */
export const keepConnected = async ({ host, connection, runSession, needed, signal, peer }: ReconnectOptions): Promise<void> => {
  const { dial, sidePort, log } = connection
  const wanted = (): boolean => !signal.aborted && needed()
  let failures = 0
  while (wanted()) {
    try {
      const reason = await runSession(await dial(`${host}:${sidePort}`))
      failures = 0
      if (wanted()) log.warn(`${peer}.lost`, { host, reason })
    } catch (error) {
      if (failures === 0) log.warn(`${peer}.unreachable`, { host, detail: (error as Error).message })
    }
    failures += 1
    await pause(backoff(failures - 1, Math.random, reconnectBackoff), signal)
  }
}
