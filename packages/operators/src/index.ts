/** Peer: operators, over HTTP with JSON, and the client that their command line uses. */
export * from './protocol.js'
export * from './routes.js'
export * from './client.js'
