/** The analysis of late and failed requests in entry logs, for its tests. */
export * from './losses.js'
