/** A soak of real processes under random faults. */
export * from './soak.js'
export * from './judge.js'
