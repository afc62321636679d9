/** Clients of backend servers: model engines and other HTTP services. */
export * from './backend-error.js'
export * from './cache-event.js'
export * from './engine.js'
export * from './http-engine.js'
export * from './service.js'
