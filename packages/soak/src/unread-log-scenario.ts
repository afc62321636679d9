/**
 * Leaves the logs of processes unread until they are full, concurrently with all other faults, and stops and starts these processes
 * meanwhile. Finds processes whose end or start waits for the reader: what does not exit within its grace period is killed.
 */
import { pause } from '@finchpitch/core'
import type { Machine } from '@finchpitch/stand-ins'
import { withRandomMachine, type FaultContext } from './faults.js'

const maxIntervalMs = 1500
/** A process that started before has written its first line after this time. */
const startMs = 800
/** Their lines take more than the operating system keeps of an unread log. */
const reloads = 1200
const reloadIntervalMs = 1
const maxUnreadMs = 1000

export class UnreadLogScenario {
  constructor (private readonly context: FaultContext, private readonly log: (line: string) => void) {}

  /** Runs for `ms`; resolves once all logs are read and all processes have been started again. */
  async run (ms: number): Promise<void> {
    const { random } = this.context
    const endsAt = performance.now() + ms
    while (performance.now() < endsAt) {
      await pause(random.between(100, maxIntervalMs))
      await withRandomMachine(this.context, async machine => await this.#stopUnread(machine))
    }
  }

  async #stopUnread (machine: Machine): Promise<void> {
    const { fleet, random } = this.context
    this.log(`${machine.name}: nobody reads its log`)
    fleet.pauseLog(machine)
    await pause(startMs)
    const { process } = machine
    for (let left = reloads; left > 0; left--) {
      fleet.signal(process, 'SIGHUP')
      await pause(reloadIntervalMs)
    }
    await fleet.kill(machine, 'SIGTERM')
    await fleet.startProcess(machine)
    await pause(random.between(0, maxUnreadMs))
    fleet.resumeLog(machine)
  }
}
