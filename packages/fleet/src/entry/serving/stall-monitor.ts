/**
 * Finds peers that have stopped reading what is written to them: callers their responses, servers the bodies of requests.
 *
 * A message is watched from when its socket signals that it is full until everything is written. One periodic check covers all
 * watched messages and runs only while there are any, so a message that its peer reads costs nothing.
 */
import type { OutgoingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { ReadProgress } from '@finchpitch/decisions'
import { nowMs } from '../../clock.js'
import { bytesTaken } from './socket-handle.js'

const checkIntervalMs = 500

/** What a peer had not read when it was found to have stalled. */
export interface Stall {
  /** Bytes that the process keeps for it. */
  bytes: number
  /** How long it has read nothing. */
  ms: number
}

export type StallListener = (stall: Stall) => void

/** To whom a message is written. The unread bytes of callers are counted; those of servers are part of request bodies. */
export type PeerKind = 'caller' | 'server'

interface Transfer {
  socket: Socket
  peer: PeerKind
  progress: ReadProgress
  onStall: StallListener
}

/** Whether so much waits to be written that the socket counts as full. */
export const isFull = (message: OutgoingMessage): boolean => message.writableLength >= message.writableHighWaterMark

export class StallMonitor {
  readonly #transfers = new Map<OutgoingMessage, Transfer>()
  #interval: ReturnType<typeof setInterval> | undefined

  /** `onCheck`: called after each check, by which unread bytes may have become fewer. */
  constructor (private readonly onCheck: () => void) {}

  /** Bytes that callers have not read yet. */
  get unreadBytes (): number {
    let sum = 0
    for (const [message, { peer }] of this.#transfers) if (peer === 'caller' && !message.destroyed) sum += message.writableLength
    return sum
  }

  /** Calls `onStall` if the peer stops reading before the message is written. Has no effect for a message that is watched already. */
  watch (message: OutgoingMessage, socket: Socket, peer: PeerKind, onStall: StallListener): void {
    if (this.#transfers.has(message)) return
    this.#transfers.set(message, { socket, peer, progress: new ReadProgress(bytesTaken(socket) ?? 0, nowMs()), onStall })
    this.#interval ??= setInterval(() => this.#check(), checkIntervalMs)
  }

  unwatch (message: OutgoingMessage): void {
    if (!this.#transfers.delete(message) || this.#transfers.size > 0) return
    clearInterval(this.#interval)
    this.#interval = undefined
  }

  #check (): void {
    const now = nowMs()
    for (const [message, transfer] of this.#transfers) this.#checkTransfer(message, transfer, now)
    this.onCheck()
  }

  #checkTransfer (message: OutgoingMessage, { socket, progress, onStall }: Transfer, now: number): void {
    const taken = bytesTaken(socket)
    if (taken === undefined || message.destroyed || message.writableLength === 0) return this.unwatch(message)
    // A pipelined response waits for the one before it, while its caller has nothing to read.
    progress.update(taken, socket.writableLength > 0, now)
    if (!progress.isStalled(now)) return
    const stall = { bytes: message.writableLength, ms: Math.round(progress.idleMs(now)) }
    this.unwatch(message)
    onStall(stall)
  }
}
