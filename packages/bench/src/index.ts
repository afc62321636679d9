/** Measurements, and the table of where service is lost. */
export * from './losses.js'
