/** The fault matrix, for its tests. */
export * from './matrix/matrix.js'
export * from './matrix/scenarios.js'
export * from './matrix/faults.js'
export * from './matrix/cluster.js'
