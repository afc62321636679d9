/**
 * A replay of one request that comes at many entries, and ends its servers or does not, on the paused clock.
 *
 * Entries and the side processes that they meet at are real but for their sockets: frames take some ms, or are lost where a process
 * is cut off or has ended.
 */
import { quietLog } from '@finchpitch/core'
import { AttemptReportRelay, Crashes, EntryCounters, ProbeExchange, RequestCrashes, ServerLiveness, reportFrames, nowMs, type BackendServer, type AttemptReports, type Facts, type IncomingRequest } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame } from '@finchpitch/wire'

const wayMs = 3
/** A server ends so long after it began to run the request; one that does not end has answered by then. */
const runMs = 120
const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3']

interface Player {
  crashes: Crashes
  probes: ProbeExchange
  /** Nobody hears it, nor it anybody. */
  deaf: boolean
}

export interface Sending {
  at: number
  entry: number
}

export class ProbeReplay {
  readonly sendings: Sending[] = []
  refused = 0
  /** When servers ended. */
  readonly ends: number[] = []
  fatal = true
  /** Called with the entry that has just sent it. */
  sent: (entry: number) => void = () => {}
  readonly entries: Player[]
  readonly #relays = new Map<string, AttemptReportRelay>()
  readonly #channels: Array<Map<string, Channel>>
  #copies = 0

  constructor (private readonly time: FakeTime, count: number) {
    this.#channels = Array.from({ length: count }, (_, entry) => new Map(hosts.map(host => [host, this.#toEntry(entry, host)])))
    for (const host of hosts) this.startRelay(host)
    this.entries = Array.from({ length: count }, (_, entry) => this.#begin(entry))
  }

  startRelay (host: string): void {
    this.#relays.get(host)?.close()
    this.#relays.set(host, new AttemptReportRelay(() => this.#channels.map(channels => channels.get(host)).filter(channel => channel !== undefined)))
  }

  endRelay (host: string): void {
    this.#relays.get(host)?.close()
    this.#relays.delete(host)
  }

  /** Copies come at all entries by turns. */
  async play (ms: number, perSecond: number): Promise<void> {
    const until = nowMs() + ms
    while (nowMs() < until) {
      void this.#copy(this.#copies % this.entries.length)
      this.#copies += 1
      await this.time.pass(1000 / perSecond)
    }
  }

  stop (): void {
    for (const host of [...this.#relays.keys()]) this.endRelay(host)
  }

  async #copy (entry: number): Promise<void> {
    const player = this.entries[entry]
    if (player === undefined) return
    const request = new RequestCrashes(player.crashes, { id: `r${this.#copies}`, host: 'h', message: { method: 'GET', url: '/' } } as unknown as IncomingRequest)
    if (request.quarantine(undefined) !== undefined || !await request.mayRun(undefined) || !request.spend(undefined)) {
      this.refused += 1
      return
    }
    const sentAt = nowMs()
    const server: BackendServer = { id: `s${this.sendings.length}`, service: 's', address: '10.0.1.1:80', domain: 'a', slots: 1, leaving: false, models: [] }
    this.sendings.push({ at: sentAt, entry })
    this.sent(entry)
    setTimeout(() => {
      if (this.fatal) this.ends.push(nowMs())
      if (player.deaf) return
      if (this.fatal) request.brokeOff(server, sentAt, undefined)
      else request.completed(undefined)
    }, runMs)
  }

  #begin (entry: number): Player {
    const probes = new ProbeExchange({ hosts: () => hosts, channelTo: host => this.#toRelay(entry, host), log: quietLog })
    const facts = { servers: { get: () => ({ leaving: false }) }, onChange: () => {} } as unknown as Facts
    const crashes = new Crashes({
      facts,
      ends: new ServerLiveness(async () => true),
      exchange: { tell: news => this.#tell(entry, news) },
      askProbe: async fingerprint => await probes.ask(fingerprint),
      quarantined: () => {},
      counters: new EntryCounters(),
      log: quietLog
    })
    return { crashes, probes, deaf: false }
  }

  #tell (entry: number, news: AttemptReports): void {
    for (const frame of reportFrames(news)) for (const host of hosts) this.#toRelay(entry, host).send(frame)
  }

  #later (entry: number, act: () => void): void {
    if (this.entries[entry]?.deaf === true) return
    setTimeout(() => { if (this.entries[entry]?.deaf === false) act() }, wayMs)
  }

  #toRelay (entry: number, host: string): Channel {
    const send = (frame: Frame): boolean => {
      const back = this.#channels[entry]?.get(host)
      this.#later(entry, () => { if (frame.type === 'crashes' && back !== undefined) this.#relays.get(host)?.handleReport(back, frame) })
      return true
    }
    return { send } as unknown as Channel
  }

  #toEntry (entry: number, host: string): Channel {
    const send = (frame: Frame): boolean => {
      this.#later(entry, () => {
        const player = this.entries[entry]
        if (frame.type === 'crashes') player?.crashes.take(frame, host)
        if (frame.type === 'crashes_noted') player?.probes.noted(host, frame.stamp, frame.granted === true)
      })
      return true
    }
    return { send } as unknown as Channel
  }
}
