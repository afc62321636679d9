/** Peer: callers, over HTTP in the shapes that LLM clients send, and plain calls to services. */
export * from './ask.js'
export * from './routes.js'
