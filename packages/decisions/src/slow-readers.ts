/**
 * Peers that read slowly or not at all, while a process keeps what they have not read: when one of them counts as stalled, and whether
 * the process may read a further request body.
 *
 * A stalled peer is told from a slow one by its progress and not by its rate: a rate that every caller reaches can't be stated, but a
 * caller that still wants its response reads some of it within a few seconds.
 */

/** Callers time out after 5 s at most, so one that read nothing for as long no longer waits for the response. */
export const readStallMs = 5000

/** The part of a process's memory for request bodies and responses; the rest is for the runtime and for what it knows of the fleet. */
const keptShare = 0.25
export const bytesPerMb = 1024 * 1024
/** Used where the memory limit of the process is not known. */
const defaultKeptBytes = 64 * bytesPerMb

/** The part of its time for which a request waits before its body is read; the remainder is for a retry by its caller. */
const bodyWaitShare = 0.1

/** What a peer has read of the bytes that are written to it. */
export class ReadProgress {
  #readBytes: number
  #progressAt: number

  /** `readBytes`: bytes that the peer has read so far, counted from any origin. */
  constructor (readBytes: number, now: number) {
    this.#readBytes = readBytes
    this.#progressAt = now
  }

  /** `waiting`: whether bytes wait to be read. A peer that has nothing to read does not stall. */
  update (readBytes: number, waiting: boolean, now: number): void {
    if (waiting && readBytes === this.#readBytes) return
    this.#readBytes = readBytes
    this.#progressAt = now
  }

  /** How long bytes have waited without any being read. */
  idleMs (now: number): number {
    return now - this.#progressAt
  }

  isStalled (now: number): boolean {
    return this.idleMs(now) >= readStallMs
  }
}

/** How many bytes a process may keep before it reads no further request bodies. `memoryMb`: its memory limit. */
export const keptBytesLimit = (memoryMb: number | undefined): number =>
  memoryMb === undefined ? defaultKeptBytes : memoryMb * keptShare * bytesPerMb

/** How long a request whose caller waits for another `leftMs` may wait until its body is read. */
export const bodyWaitMs = (leftMs: number): number => Math.max(0, leftMs * bodyWaitShare)

/**
 * How many of the requests that wait for their bodies to be read may go on, in order of arrival. `sizes`: the stated sizes of the
 * bodies. Stated sizes count, as otherwise all that wait would be read together as soon as a single byte is free. The first always
 * fits, since a body may be larger than the limit allows.
 */
export const readableBodies = (sizes: Iterable<number>, keptBytes: number, limitBytes: number): number => {
  let room = limitBytes - keptBytes
  let count = 0
  for (const size of sizes) {
    if (room <= 0 || (count > 0 && size > room)) break
    room -= size
    count += 1
  }
  return count
}
