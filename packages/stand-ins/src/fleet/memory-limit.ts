/**
 * Ends a process whose resident memory exceeds a limit, as the platform does, and keeps the peak.
 *
 * The kernel keeps the peak of each process, so one that is exceeded between two checks is found too.
 */
import type { ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'

const checkIntervalMs = 50
const kbPerMb = 1024

/** Peak of the resident memory of a process in MB; `undefined` once it has ended. */
const peakResidentMb = (pid: number): number | undefined => {
  try {
    const [, kb] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
    return kb === undefined ? undefined : Number(kb) / kbPerMb
  } catch {
    return undefined
  }
}

export class MemoryLimit {
  /** Peak of the resident memory so far, in MB. */
  peakMb = 0
  /** Whether the process was ended for its memory. */
  exceeded = false

  constructor (child: ChildProcess, limitMb: number) {
    const { pid } = child
    if (pid === undefined) return
    const check = (): void => {
      this.peakMb = Math.max(this.peakMb, peakResidentMb(pid) ?? 0)
      if (this.peakMb <= limitMb || this.exceeded) return
      this.exceeded = child.kill('SIGKILL')
    }
    const timer = setInterval(check, checkIntervalMs)
    child.once('exit', () => clearInterval(timer))
  }
}
