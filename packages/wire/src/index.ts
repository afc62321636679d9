/** Communication between the system's own processes: CBOR frames over TCP. */
export * from './frame.js'
export * from './quick-check.js'
export * from './codec.js'
export * from './channel.js'
export * from './inbox.js'
export * from './listener.js'
