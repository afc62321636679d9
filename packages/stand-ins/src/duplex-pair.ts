/**
 * An in-memory connection, for tests of protocols.
 */
import { Duplex } from 'node:stream'

/** Returns the two ends: data written to one is read from the other, and destroying one destroys the other. */
export const duplexPair = (): [Duplex, Duplex] => {
  const make = (other: () => Duplex): Duplex => new Duplex({
    read () {},
    write (chunk, _encoding, done) {
      other().push(chunk)
      done()
    },
    destroy (error, done) {
      if (!other().destroyed) other().destroy()
      done(error)
    }
  })
  const first: Duplex = make(() => second)
  const second: Duplex = make(() => first)
  return [first, second]
}
