/**
 * Has callers leave streams midway and take them up at any entry, while engines of two software versions serve and one is replaced by
 * another version, concurrently with all other faults. Finds streams with events of two versions, or with events that are missing or
 * come twice.
 */
import { request } from 'node:http'
import { pause } from '@finchpitch/core'
import type { FleetSystem } from '@finchpitch/stand-ins'
import { defaultRemainingMs, randomModel } from './caller.js'
import type { SeededRandom } from './seeded-random.js'

const path = '/resume/x'
const versions = ['v1', 'v2'] as const
const maxIntervalMs = 100
const maxPauseMs = 600
/** Attempts to take up a stream that has begun. */
const maxResumptions = 3

interface StreamEvent { id: number, version: string }

/** What the callers of one stream have received. */
interface Stream {
  id: string
  events: StreamEvent[]
  /** Attempts to take it up, and those that brought events. */
  resumptions: number
  wentOn: number
}

export class ResumedStreamScenario {
  readonly #streams: Stream[] = []

  constructor (private readonly options: { fleet: FleetSystem, random: SeededRandom, eventsPerStream: number, log: (line: string) => void }) {}

  /** Streams that callers took up, and those of them that went on. */
  get counts (): { takenUp: number, wentOn: number } {
    return { takenUp: this.#streams.filter(({ resumptions }) => resumptions > 0).length, wentOn: this.#streams.filter(({ wentOn }) => wentOn > 0).length }
  }

  /** Called before any load: the version of a server does not change while it runs. */
  assignVersions (): void {
    const { fleet } = this.options
    fleet.engines.forEach((engine, index) => {
      engine.softwareVersion = versions[index % versions.length] ?? versions[0]
      fleet.relist(engine)
    })
  }

  /** Runs for `ms`. */
  async run (ms: number): Promise<void> {
    const { random } = this.options
    const endsAt = performance.now() + ms
    const replacement = this.#replaceOne(random.between(ms / 4, ms / 2))
    const streams: Array<Promise<void>> = []
    for (let each = 0; performance.now() < endsAt; each++) {
      streams.push(this.#takeUpRepeatedly(`resumed-${each}`))
      await pause(random.between(1, maxIntervalMs))
    }
    await Promise.all([replacement, ...streams])
  }

  violations (): string[] {
    const broken: string[] = []
    for (const { id, events } of this.#streams) {
      const made = new Set(events.map(({ version }) => version))
      if (made.size > 1) broken.push(`${id} has events of software versions ${[...made].join(' and ')}`)
      if (events.some((event, index) => event.id !== index + 1)) broken.push(`${id} has events ${events.map(event => event.id).join(' ')}`)
    }
    return broken
  }

  /** Restarts an engine with the other version. */
  async #replaceOne (afterMs: number): Promise<void> {
    const { fleet, random, log } = this.options
    await pause(afterMs)
    const engine = random.pick(fleet.engines)
    const next = versions.find(version => version !== engine.softwareVersion) ?? versions[0]
    log(`${engine.id} is replaced by software version ${next}`)
    engine.onCrash()
    engine.softwareVersion = next
  }

  async #takeUpRepeatedly (id: string): Promise<void> {
    const { random, eventsPerStream } = this.options
    const stream: Stream = { id, events: [], resumptions: 0, wentOn: 0 }
    const model = randomModel(random)
    await this.#read(stream, id, { ...model }, random.between(1, eventsPerStream))
    if (stream.events.length === 0) return
    this.#streams.push(stream)
    while (stream.events.length < eventsPerStream && stream.resumptions < maxResumptions) {
      await pause(random.between(0, maxPauseMs))
      stream.resumptions += 1
      const before = stream.events.length
      await this.#read(stream, `${id}-${stream.resumptions}`, { ...model, 'last-event-id': String(stream.events.at(-1)?.id), resumes: id }, random.between(1, eventsPerStream))
      if (stream.events.length > before) stream.wentOn += 1
    }
  }

  /** Sends a request to any entry, and leaves after so many events. */
  #read (stream: Stream, id: string, more: Record<string, string>, leaveAfter: number): Promise<void> {
    const { fleet, random } = this.options
    return new Promise(resolve => {
      const received: StreamEvent[] = []
      let text = ''
      const finish = (): void => {
        stream.events.push(...received.splice(0))
        resolve()
      }
      const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(defaultRemainingMs), ...more }
      const outgoing = request({ ...fleet.callerAddress(random.between(0, fleet.entries.length - 1)), agent: false, method: 'POST', path, headers }, response => {
        response.setEncoding('utf8').on('data', (chunk: string) => {
          text += chunk
          for (let match; (match = /^id: (\d+)\ndata: \S+ (\S+) \d+\n\n/.exec(text)) !== null; text = text.slice(match[0].length)) received.push({ id: Number(match[1]), version: match[2] ?? '' })
          if (received.length >= leaveAfter) outgoing.destroy()
        })
        response.on('end', finish).on('error', finish)
      })
      outgoing.setTimeout(defaultRemainingMs * 3, () => outgoing.destroy())
      outgoing.on('error', finish).end('{}')
    })
  }
}
