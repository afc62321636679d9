/**
 * Simulates many copies of one request at many entries, on a fake clock. The request may crash the servers that run it.
 *
 * Entries and side processes run the production code except for sockets: frames take a few ms, or are lost if a process is
 * isolated or stopped.
 */
import { quietLog } from '@finchpitch/core'
import { AttemptReportRelay, Crashes, EntryCounters, ProbeExchange, RequestCrashes, ServerLiveness, reportFrames, nowMs, type BackendServer, type AttemptReports, type Facts, type IncomingRequest } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame } from '@finchpitch/wire'

const oneWayMs = 3
/** Time from the start of a run until the server crashes or has responded. */
const runMs = 120
const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3']

interface SimulatedEntry {
  crashes: Crashes
  probes: ProbeExchange
  /** Cut off from all side processes. */
  deaf: boolean
}

export interface Sending {
  at: number
  entry: number
}

export class ProbeReplay {
  readonly sendings: Sending[] = []
  /** Number of copies that were not sent. */
  refused = 0
  /** Times of server crashes. */
  readonly ends: number[] = []
  /** Whether the request crashes its servers. */
  fatal = true
  /** Called with the entry for each copy that is sent. */
  sent: (entry: number) => void = () => {}
  readonly entries: SimulatedEntry[]
  readonly #relays = new Map<string, AttemptReportRelay>()
  readonly #channels: Array<Map<string, Channel>>
  #copies = 0

  constructor (private readonly time: FakeTime, count: number) {
    this.#channels = Array.from({ length: count }, (_, entry) => new Map(hosts.map(host => [host, this.#channelToEntry(entry, host)])))
    for (const host of hosts) this.startRelay(host)
    this.entries = Array.from({ length: count }, (_, entry) => this.#startEntry(entry))
  }

  startRelay (host: string): void {
    this.#relays.get(host)?.close()
    this.#relays.set(host, new AttemptReportRelay(() => this.#channels.map(channels => channels.get(host)).filter(channel => channel !== undefined)))
  }

  endRelay (host: string): void {
    this.#relays.get(host)?.close()
    this.#relays.delete(host)
  }

  /** Sends copies to the entries in turn. */
  async play (ms: number, perSecond: number): Promise<void> {
    const until = nowMs() + ms
    while (nowMs() < until) {
      void this.#sendCopy(this.#copies % this.entries.length)
      this.#copies += 1
      await this.time.pass(1000 / perSecond)
    }
  }

  stop (): void {
    for (const host of [...this.#relays.keys()]) this.endRelay(host)
  }

  async #sendCopy (entry: number): Promise<void> {
    const simulated = this.entries[entry]
    if (simulated === undefined) return
    const request = new RequestCrashes(simulated.crashes, { id: `r${this.#copies}`, host: 'h', message: { method: 'GET', url: '/' } } as unknown as IncomingRequest)
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
      if (simulated.deaf) return
      if (this.fatal) request.brokeOff(server, sentAt, undefined)
      else request.completed(undefined)
    }, runMs)
  }

  #startEntry (entry: number): SimulatedEntry {
    const probes = new ProbeExchange({ hosts: () => hosts, channelTo: host => this.#channelToRelay(entry, host), log: quietLog })
    const facts = { servers: { get: () => ({ leaving: false }) }, onChange: () => {} } as unknown as Facts
    const crashes = new Crashes({
      facts,
      ends: new ServerLiveness(async () => true),
      exchange: { tell: reports => this.#report(entry, reports) },
      askProbe: async fingerprint => await probes.ask(fingerprint),
      quarantined: () => {},
      counters: new EntryCounters(),
      log: quietLog
    })
    return { crashes, probes, deaf: false }
  }

  #report (entry: number, reports: AttemptReports): void {
    for (const frame of reportFrames(reports)) for (const host of hosts) this.#channelToRelay(entry, host).send(frame)
  }

  #deliver (entry: number, action: () => void): void {
    if (this.entries[entry]?.deaf === true) return
    setTimeout(() => { if (this.entries[entry]?.deaf === false) action() }, oneWayMs)
  }

  #channelToRelay (entry: number, host: string): Channel {
    const send = (frame: Frame): boolean => {
      const replyChannel = this.#channels[entry]?.get(host)
      this.#deliver(entry, () => { if (frame.type === 'crashes' && replyChannel !== undefined) this.#relays.get(host)?.handleReport(replyChannel, frame) })
      return true
    }
    return { send } as unknown as Channel
  }

  #channelToEntry (entry: number, host: string): Channel {
    const send = (frame: Frame): boolean => {
      this.#deliver(entry, () => {
        const simulated = this.entries[entry]
        if (frame.type === 'crashes') simulated?.crashes.take(frame, host)
        if (frame.type === 'crashes_noted') simulated?.probes.noted(host, frame.stamp, frame.granted === true)
      })
      return true
    }
    return { send } as unknown as Channel
  }
}
