/**
 * The software version at which the stream of one request has to go on, once its caller has events of it: from this response, or from an
 * earlier one that the caller resumes.
 */
import type { StreamOrigins } from '../peers/stream-origins.js'
import type { IncomingRequest } from './incoming-request.js'

export class StreamContinuation {
  #version: string | undefined

  constructor (private readonly origins: Pick<StreamOrigins, 'record' | 'find'>, private readonly incoming: Pick<IncomingRequest, 'id' | 'lastEventId' | 'resumes'>) {}

  /** The version; `undefined` while the stream may begin at any. */
  get softwareVersion (): string | undefined {
    return this.#version
  }

  /** Finds the version of a stream that the caller resumes. Returns false if it is not known. */
  async resolve (service: string, leftMs: number): Promise<boolean> {
    if (this.incoming.lastEventId === undefined || this.#version !== undefined) return true
    this.#version = await this.origins.find(service, this.incoming.resumes ?? '', leftMs)
    return this.#version !== undefined
  }

  /** Called before the request is written to a server of this version. */
  recordStart (service: string, version: string): void {
    const { id, lastEventId, resumes } = this.incoming
    const beganAs = lastEventId === undefined ? id : resumes ?? ''
    if (beganAs !== '') this.origins.record(service, beganAs, version)
  }

  /** The caller has received events from a server of this version. */
  bind (version: string): void {
    this.#version ??= version
  }
}
