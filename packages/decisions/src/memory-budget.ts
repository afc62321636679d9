/**
 * What a process may read into memory, so that it stays below the memory limit at which the platform ends it.
 *
 * A request body is counted with its stated size from before its first byte is read. Bodies that begin together therefore can't all
 * find the same room. The limit leaves space for buffers that are no longer used, since the runtime frees these only by a collection.
 */
import { bytesPerMb, readableBodies } from './slow-readers.js'

/** Bodies up to this size are read beside large ones. It is also what is assumed of a body without a stated size when it begins. */
export const smallBodyBytes = 64 * 1024

/** The part of the limit that large bodies may use. The rest is for small ones. */
const largeShare = 7 / 8

/** What the runtime reads of a body before it stops reading the connection of a request that waits. */
const bufferedBytes = 128 * 1024
const maxBufferedShare = 1 / 8

/** Above this part of its memory limit, a process reads large bodies one after another. */
const nearLimitShare = 0.85

/** The part of the kept bytes' limit that buffers may take that are no longer used. */
const garbageShare = 0.5

/** A body of which nothing arrives for this long holds no room that others wait for. */
export const bodyStallMs = 300

/** The bytes that a process keeps or has promised to read, and how many it may. */
export interface BodyRoom {
  kept: number
  limit: number
  /** Whether the resident memory of the process is near its limit. */
  nearLimit: boolean
}

const largeLimit = ({ limit, nearLimit }: BodyRoom): number => nearLimit ? 1 : limit * largeShare

/**
 * Whether a body may be read that has just arrived. `waiting`: number of large ones that wait. Anything is read by a process that keeps
 * nothing, since a body may be larger than the limit allows.
 */
export const mayRead = (size: number, room: BodyRoom, waiting: number): boolean => {
  if (size <= smallBodyBytes) return room.kept + size <= room.limit
  return waiting === 0 && admissibleBodies([size], room) === 1
}

/** How many of the large bodies that wait may be read, in order of arrival. */
export const admissibleBodies = (sizes: Iterable<number>, room: BodyRoom): number => readableBodies(sizes, room.kept, largeLimit(room))

/**
 * Whether a further body may wait for room. Those for which the limit has no room even after all that is kept has been released would
 * wait in vain, and what the runtime has read of each that waits takes memory, too.
 */
export const mayWait = (size: number, waiting: Iterable<number>, limit: number): boolean => {
  let sum = 0
  let buffered = Math.min(size, bufferedBytes)
  for (const each of waiting) {
    sum += each
    buffered += Math.min(each, bufferedBytes)
  }
  return sum < limit && buffered <= limit * maxBufferedShare
}

/** Above these parts of the limit, all responses but the oldest wait, and that one, too. */
const sharedShare = 1.25
const oldestShare = 1.5

export interface ResponseRoom {
  /** Bytes of responses that are buffered or that callers have not read. */
  responses: number
  /** These and the bytes of request bodies. */
  kept: number
  limit: number
}

/**
 * Whether a server's response, of which `bytes` have been read, may be read on. The oldest goes on longer than others, since one that is
 * whole makes room.
 */
export const mayReadResponse = (bytes: number, { responses, kept, limit }: ResponseRoom, oldest: boolean): boolean =>
  bytes <= smallBodyBytes || (oldest ? kept < limit * oldestShare : responses < limit * largeShare && kept < limit * sharedShare)

export const isNearMemoryLimit = (residentBytes: number, memoryMb: number | undefined): boolean =>
  memoryMb !== undefined && residentBytes > memoryMb * nearLimitShare * bytesPerMb

/** Whether buffers that are no longer used take so much memory that they have to be collected. */
export const isCollectionDue = (garbageBytes: number, limit: number): boolean => garbageBytes > limit * garbageShare
