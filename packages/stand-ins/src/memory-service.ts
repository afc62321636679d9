/**
 * An in-memory stand-in for a plain service that takes bookings. It records every change that it runs and detects no duplicates, so
 * that a test sees requests that ran more than once.
 */
import { EventEmitter } from 'node:events'
import { pause, type HttpResponse } from '@finchpitch/core'
import { backendError, type BackendError, type PlainService, type ServiceCall } from '@finchpitch/backend'
import { err, ok, type Result } from 'neverthrow'

export class MemoryService implements PlainService {
  /** The body of each change, in the order in which they ran. */
  readonly changes: string[] = []
  running = 0
  down = false
  delayMs = 0
  /** While set, calls run and then wait for this promise before they respond. */
  held: Promise<void> | undefined
  /** Emits `change` after each change. */
  readonly events = new EventEmitter()
  /** Number of next calls that run, but whose responses are lost. */
  responsesToLose = 0

  async call ({ call }: ServiceCall): Promise<Result<HttpResponse, BackendError>> {
    if (this.down) return err(backendError('unreachable', 'the service is down'))
    const text = Buffer.from(call.body).toString()
    if (call.method !== 'GET') {
      this.changes.push(text)
      this.events.emit('change')
    }
    this.running += 1
    await this.held
    if (this.delayMs > 0) await pause(this.delayMs)
    this.running -= 1
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1
      return err(backendError('lost', 'the response was lost'))
    }
    const body = JSON.stringify({ path: call.path, booked: text, changes: this.changes.length })
    return ok({ status: 200, headers: { 'content-type': 'application/json' }, body: inTwoChunks(body) })
  }
}

async function * inTwoChunks (text: string): AsyncGenerator<Uint8Array> {
  const half = Math.ceil(text.length / 2)
  yield Buffer.from(text.slice(0, half))
  yield Buffer.from(text.slice(half))
}
