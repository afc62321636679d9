/** The HTTP API for callers: OpenAI-compatible completions and calls to services. */
export * from './caller-request.js'
export * from './routes.js'
