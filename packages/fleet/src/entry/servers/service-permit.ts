/**
 * The token of a busy plain service that one request holds from the choice of a server until it is written.
 */
import type { PlainServices, ServiceToken } from './plain-services.js'

export class ServicePermit {
  #token: ServiceToken | undefined

  constructor (private readonly services: Pick<PlainServices, 'take' | 'recordShortage'>) {}

  /** Takes a token unless it holds one. `promised`: its caller was promised capacity. Returns whether the request may be sent. */
  take (service: string, team: string | undefined, promised = false): boolean {
    if (this.#token !== undefined) return true
    const token = this.services.take(service, team, promised)
    if (token === false) {
      this.services.recordShortage(service, team)
      return false
    }
    this.#token = token
    return true
  }

  /** The request is being written. */
  spend (): void {
    this.#token = undefined
  }

  /** Returns the token of a request that was not written. */
  release (): void {
    this.#token?.account.deposit(this.#token.slices)
    this.#token = undefined
  }
}
