/** Communication between the system's own processes: CBOR frames over TCP. */
export * from './frame.js'
export * from './fast-validation.js'
export * from './codec.js'
export * from './channel.js'
export * from './flow-control.js'
export * from './listener.js'
