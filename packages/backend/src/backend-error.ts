/**
 * Errors of calls to a backend server, distinguished by what they prove about whether the request ran.
 */
export const backendErrorMessages = {
  unreachable: 'no connection was made; nothing was sent',
  lost: 'the connection was lost after the request was sent',
  not_loaded: 'the engine does not hold the adapter',
  fenced: 'the fencing token is stale: a newer side process controls the engine',
  busy: 'the backend server is overloaded',
  refused: 'the backend server refused the order'
} as const
export type BackendErrorCode = keyof typeof backendErrorMessages

export interface BackendError {
  code: BackendErrorCode
  detail: string
  /** Identifies the run of the engine that responded, if one did. */
  boot?: string
}

export const backendError = (code: BackendErrorCode, detail: string, boot?: string): BackendError =>
  boot === undefined ? { code, detail } : { code, detail, boot }

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Only a failed connection attempt proves that nothing was sent. */
export const toBackendError = (error: unknown): BackendError => {
  const { code, message } = error as NodeJS.ErrnoException
  return backendError(code !== undefined && connectErrorCodes.has(code) ? 'unreachable' : 'lost', message)
}
