/** The HTTP API for callers: OpenAI-compatible completions and calls to services. */
export * from './ask.js'
export * from './routes.js'
