/** The HTTP API for operators, and its client, which the command line uses. */
export * from './protocol.js'
export * from './routes.js'
export * from './client.js'
