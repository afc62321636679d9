/** The decisions: plain functions and small tables, called by the tasks that hold the connections. */
export * from './preference.js'
export * from './route.js'
export * from './slot-choice.js'
export * from './queue.js'
export * from './limit.js'
export * from './estimate.js'
export * from './retry-window.js'
export * from './outlier.js'
