/** HTTP surfaces: the gateway, bounded bodies, the one error shape, streamed answers. */
export * from './error-body.js'
export * from './body.js'
export * from './answer.js'
export * from './gateway.js'
