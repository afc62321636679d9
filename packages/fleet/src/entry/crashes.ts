/**
 * Requests under which servers ended.
 */
import type { Log, RequestPrint } from '@finchpitch/core'
import { nowMs } from '../clock.js'
import type { BackendServer } from '../server.js'
import type { ServerEnds } from './server-ends.js'

/** A try that broke off at its server. */
export interface BrokenTry {
  request: string
  print: RequestPrint
  server: BackendServer
  /** When it was sent, on the steady clock. */
  sentAt: number
}

export class Crashes {
  constructor (private readonly ends: ServerEnds, private readonly log: Log) {}

  /** Finds out whether the server ended under it. */
  async brokeOff ({ request, print, server, sentAt }: BrokenTry): Promise<void> {
    const ranMs = Math.round(nowMs() - sentAt)
    const ended = await this.ends.ended(server)
    this.log.info('request.broke_off', { request, print, server: server.id, ranMs, ended })
  }
}
