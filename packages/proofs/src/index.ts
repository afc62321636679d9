/** The fault matrix: its cells, scenarios and faults, and the simulated cluster that they run on. */
export * from './matrix/matrix.js'
export * from './matrix/scenarios.js'
export * from './matrix/faults.js'
export * from './matrix/cluster.js'
export * from './matrix/network.js'
