/** What every package shares: ids, findings, failures, work, the configuration and the log. */
export * from './id.js'
export * from './finding.js'
export * from './failure.js'
export * from './work.js'
export * from './configuration.js'
export * from './line-sink.js'
export * from './log.js'
export * from './abort.js'
