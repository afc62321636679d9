/**
 * What can go wrong with a backend server, told apart by what it proves.
 */
export const backendFaultTexts = {
  unreachable: 'no connection was made; nothing was sent',
  lost: 'the connection was lost after the request was sent',
  not_loaded: 'the engine does not hold the adapter',
  fenced: 'the engine takes orders from a newer side process only',
  busy: 'the backend server is too busy now',
  refused: 'the backend server refused the order'
} as const
export type BackendFaultCode = keyof typeof backendFaultTexts

export interface BackendFault {
  code: BackendFaultCode
  detail: string
  /** The engine run that answered, where one did. */
  boot?: string
}

export const backendFault = (code: BackendFaultCode, detail: string, boot?: string): BackendFault =>
  boot === undefined ? { code, detail } : { code, detail, boot }

const unsent = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Only an error of making the connection proves that nothing was sent. */
export const faultOf = (error: unknown): BackendFault => {
  const { code, message } = error as NodeJS.ErrnoException
  return backendFault(code !== undefined && unsent.has(code) ? 'unreachable' : 'lost', message)
}
