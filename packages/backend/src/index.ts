/** Peer: backend servers, which are model engines and plain services. */
export * from './fault.js'
export * from './cache-event.js'
export * from './engine.js'
export * from './http-engine.js'
export * from './service.js'
