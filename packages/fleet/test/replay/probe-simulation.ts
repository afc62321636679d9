/**
 * Simulates many copies of one request at many entries, on a fake clock. The request may crash the servers that run it.
 *
 * Entries and side processes run the production code except for sockets: frames take a few ms, or are lost if a process is
 * isolated or stopped.
 */
import { silentLog } from '@finchpitch/core'
import { AttemptReportRelay, CrashTracker, EntryCounters, ProbeRequester, RequestCrashes, type CrashScope, ServerLiveness, reportFrames, nowMs, type BackendServer, type AttemptReports, type Facts, type IncomingRequest } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'
import type { Channel, Frame } from '@finchpitch/wire'

const oneWayMs = 3
/** Time from the start of a run until the server crashes or has responded. */
const runMs = 120
const scope: CrashScope = { team: undefined, service: 's' }
const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3']

interface SimulatedEntry {
  crashes: CrashTracker
  probes: ProbeRequester
  /** Cut off from all side processes. */
  isolated: boolean
}

export interface SentCopy {
  at: number
  entry: number
}

export class ProbeSimulation {
  readonly sentCopies: SentCopy[] = []
  /** Number of copies that were not sent. */
  refused = 0
  /** Times of server crashes. */
  readonly crashTimes: number[] = []
  /** Whether the request crashes its servers. */
  fatal = true
  /** Called with the entry for each copy that is sent. */
  onSend: (entry: number) => void = () => {}
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

  stopRelay (host: string): void {
    this.#relays.get(host)?.close()
    this.#relays.delete(host)
  }

  /** Sends copies to the entries in turn. */
  async run (ms: number, perSecond: number): Promise<void> {
    const until = nowMs() + ms
    while (nowMs() < until) {
      void this.#sendCopy(this.#copies % this.entries.length)
      this.#copies += 1
      await this.time.advance(1000 / perSecond)
    }
  }

  stop (): void {
    for (const host of [...this.#relays.keys()]) this.stopRelay(host)
  }

  async #sendCopy (entry: number): Promise<void> {
    const simulated = this.entries[entry]
    if (simulated === undefined) return
    const request = new RequestCrashes(simulated.crashes, { id: `r${this.#copies}`, host: 'h', message: { method: 'GET', url: '/' } } as unknown as IncomingRequest)
    if (request.quarantine(scope) !== undefined || !await request.mayRun(scope) || !request.spend(scope)) {
      this.refused += 1
      return
    }
    const sentAt = nowMs()
    const server: BackendServer = { id: `s${this.sentCopies.length}`, service: 's', address: '10.0.1.1:80', domain: 'a', slots: 1, leaving: false, models: [] }
    this.sentCopies.push({ at: sentAt, entry })
    this.onSend(entry)
    setTimeout(() => {
      if (this.fatal) this.crashTimes.push(nowMs())
      if (simulated.isolated) return
      if (this.fatal) request.brokeOff({ server, sentAt, responseMs: undefined }, scope)
      else request.recordCompletion(scope, { wroteAnswer: true })
    }, runMs)
  }

  #startEntry (entry: number): SimulatedEntry {
    const probes = new ProbeRequester({ hosts: () => hosts, channelTo: host => this.#channelToRelay(entry, host), log: silentLog })
    const facts = { servers: { get: () => ({ leaving: false }) }, onChange: () => {} } as unknown as Facts
    const crashes = new CrashTracker({
      facts,
      liveness: new ServerLiveness(async () => true),
      reporter: { report: reports => this.#report(entry, reports) },
      requestProbe: async fingerprint => await probes.ask(fingerprint),
      onQuarantine: () => {},
      counters: new EntryCounters(),
      log: silentLog
    })
    return { crashes, probes, isolated: false }
  }

  #report (entry: number, reports: AttemptReports): void {
    for (const frame of reportFrames(reports)) for (const host of hosts) this.#channelToRelay(entry, host).send(frame)
  }

  #deliver (entry: number, action: () => void): void {
    if (this.entries[entry]?.isolated === true) return
    setTimeout(() => { if (this.entries[entry]?.isolated === false) action() }, oneWayMs)
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
        if (frame.type === 'crashes') simulated?.crashes.handleReport(frame, host)
        if (frame.type === 'crashes_noted') simulated?.probes.handleAnswer(host, frame.stamp, frame.granted === true)
      })
      return true
    }
    return { send } as unknown as Channel
  }
}
