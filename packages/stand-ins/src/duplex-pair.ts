/**
 * A connection in memory, for tests of what speaks over one.
 */
import { Duplex } from 'node:stream'

/** Its two ends: what is written to one is read from the other, and the end of one ends the other. */
export const duplexPair = (): [Duplex, Duplex] => {
  const make = (other: () => Duplex): Duplex => new Duplex({
    read () {},
    write (piece, _encoding, done) {
      other().push(piece)
      done()
    },
    destroy (error, done) {
      if (!other().destroyed) other().destroy()
      done(error)
    }
  })
  const near: Duplex = make(() => far)
  const far: Duplex = make(() => near)
  return [near, far]
}
