/**
 * Keeps records of streams for the entries: at which software version each began, whether one without a record began at the only
 * version that was listed then, and whether this process would have its record.
 */
import type { Keeper, KeeperHistory } from '@finchpitch/decisions'
import type { Channel, FrameOf } from '@finchpitch/wire'
import { nowMs } from '../clock.js'
import type { SoftwareVersions } from '../software-versions.js'
import { StreamRecords } from '../stream-records.js'

export class StreamRegistry {
  readonly #records = new StreamRecords()

  constructor (private readonly versions: SoftwareVersions, private readonly keepers: KeeperHistory, private readonly self: Keeper) {}

  /** Handles a frame with records or a question. Returns whether it was one. */
  handle (from: Channel, { streams, askStream, stamp }: FrameOf<'crashes'>): boolean {
    for (const record of streams ?? []) this.#records.add(...record)
    if (askStream === undefined) return streams !== undefined
    const [service, request] = askStream
    const history = this.versions.historyOf(service)
    const now = nowMs()
    const recorded = this.#records.version(service, request)
    const unrecorded = history.unrecorded(now)
    // Without a record, what matters is whether there would be one.
    const kept = recorded !== undefined || unrecorded === undefined ? {} : { keeps: this.#records.isComplete && this.keepers.wouldKeep(this.self, request, now), domains: this.keepers.domains(now) }
    from.send({
      type: 'crashes_noted',
      stamp,
      stream: { ...(recorded === undefined ? {} : { recorded }), ...(unrecorded === undefined ? {} : { unrecorded }), single: history.single(now) !== undefined, ...kept }
    })
    return true
  }
}
