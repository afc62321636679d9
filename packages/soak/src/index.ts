/** Soak test: real processes under load and random faults. */
export * from './soak.js'
export * from './check-results.js'
export * from './process-exits.js'
