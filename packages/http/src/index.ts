/** HTTP server parts: routes, size-limited request bodies, error responses and streamed responses. */
export * from './error-body.js'
export * from './body.js'
export * from './response.js'
export * from './gateway.js'
