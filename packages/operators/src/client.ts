/**
 * Typed client of the operator API of an entry.
 */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import type { z } from 'zod'
import { ApplyReply, ConfigurationReply, ErrorReply, HistoryReply, LogLevelBody, StatusReply, type ApplyBody } from './protocol.js'

export interface OperatorClientOptions {
  /** `http://host:port` of an entry's operator API. */
  origin: string
  token: string
}

export interface OperatorClientError {
  code: 'unreachable' | 'refused' | 'not_understood'
  message: string
}

type Reply<T> = Promise<Result<T, OperatorClientError>>

export class OperatorClient {
  constructor (private readonly options: OperatorClientOptions) {}

  apply (body: ApplyBody): Reply<ApplyReply> {
    return this.#call('POST', '/operator/v1/apply', ApplyReply, body)
  }

  configuration (): Reply<ConfigurationReply> {
    return this.#call('GET', '/operator/v1/configuration', ConfigurationReply)
  }

  history (): Reply<HistoryReply> {
    return this.#call('GET', '/operator/v1/history', HistoryReply)
  }

  status (): Reply<StatusReply> {
    return this.#call('GET', '/operator/v1/status', StatusReply)
  }

  setLogLevel (body: z.infer<typeof LogLevelBody>): Reply<z.infer<typeof LogLevelBody>> {
    return this.#call('PUT', '/operator/v1/log-level', LogLevelBody, body)
  }

  async #call<S extends z.ZodType> (method: 'GET' | 'POST' | 'PUT', path: string, schema: S, body?: unknown): Reply<z.infer<S>> {
    const { origin, token } = this.options
    let json: unknown
    try {
      const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' }
      const reply = await request(`${origin}${path}`, { method, headers, body: body === undefined ? null : JSON.stringify(body) })
      json = await reply.body.json()
    } catch (error) {
      return err({ code: 'unreachable', message: `${origin}: ${(error as Error).message}` })
    }
    const parsed = schema.safeParse(json)
    if (parsed.success) return ok(parsed.data)
    const refused = ErrorReply.safeParse(json)
    if (refused.success) return err({ code: 'refused', message: refused.data.error.message })
    return err({ code: 'not_understood', message: `${origin}${path} sent a response in an unknown format; its version may differ` })
  }
}
