/**
 * The process of a `SeparateRunner`. It writes its entry of the store and the record through its parent.
 */
import { Runner } from './platform.mjs'

const runner = new Runner(JSON.parse(process.argv[2]))
const { push } = runner.arrivals
runner.arrivals.push = arrival => {
  process.send({ arrival })
  return push.call(runner.arrivals, arrival)
}
process.on('message', ({ drain }) => {
  runner.state = 'draining'
  runner.remainingMs = drain
  runner.register()
})
process.on('disconnect', () => process.exit())
await runner.start({ put: (...put) => process.send({ put }) }, { write: (...write) => process.send({ write }) })
