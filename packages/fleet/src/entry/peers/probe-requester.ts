/**
 * Requests permission to run a request whose quarantine has expired, as a probe.
 *
 * A single side process, chosen by rendezvous hashing, decides for all entries. Otherwise every entry would send the copy that
 * it has received by then, and each may crash a server. If the side process doesn't answer, no probe is sent for now.
 */
import { pause, type Log, type Fingerprint } from '@finchpitch/core'
import type { Channel } from '@finchpitch/wire'
import { nowMs, afterSocketReads } from '../../clock.js'
import { RendezvousSelector } from './rendezvous-selector.js'

/** Side processes answer within a few ms, also across domains. */
const answerTimeoutMs = 400
/** A side process that didn't answer is skipped for this long. */
const skipMs = 5000

export interface ProbeRequesterOptions {
  /** Hosts of all side processes. */
  hosts: () => readonly string[]
  /** The channel to a side process; starts to open one if there is none. */
  channelTo: (host: string) => Channel | undefined
  log: Log
}

interface PendingProbe {
  host: string
  granted: boolean
  answered: AbortController
}

export class ProbeRequester {
  readonly #rendezvous = new RendezvousSelector({ purpose: 'probes', skipMs, now: nowMs })
  /** By the stamps of their frames. These are negative, to distinguish them from the stamps of attempt reports. */
  readonly #pending = new Map<number, PendingProbe>()
  #stamp = 0

  constructor (private readonly options: ProbeRequesterOptions) {}

  /** Returns whether this entry may send the request. */
  async ask (fingerprint: Fingerprint): Promise<boolean> {
    const hosts = this.options.hosts()
    // Without side processes, entries learn of no crashes but their own, so each of them probes on its own.
    if (hosts.length === 0) return true
    const host = this.#rendezvous.choose(hosts)
    const channel = host === undefined ? undefined : this.options.channelTo(host)
    if (host === undefined || channel === undefined) return false
    this.#stamp -= 1
    const stamp = this.#stamp
    const pending: PendingProbe = { host, granted: false, answered: new AbortController() }
    this.#pending.set(stamp, pending)
    channel.send({ type: 'crashes', stamp, crashes: [], sound: [], ask: fingerprint })
    await pause(answerTimeoutMs, pending.answered.signal)
    if (!pending.answered.signal.aborted) await afterSocketReads()
    this.#pending.delete(stamp)
    if (!pending.answered.signal.aborted) this.#skip(host)
    return pending.granted
  }

  /** Handles the answer of the side process at `host` to the frame with this stamp. */
  handleAnswer (host: string, stamp: number, granted: boolean): void {
    const pending = this.#pending.get(stamp)
    if (pending?.host !== host) return
    pending.granted = granted
    pending.answered.abort()
  }

  #skip (host: string): void {
    this.#rendezvous.skip(host)
    this.options.log.info('probe.not_answered', { host })
  }
}
