/**
 * A side process is killed and started twice. The first time it learns the store's revision from an entry that reads the store; the
 * second time from an entry that the store has turned away and that has stood still meanwhile. Its orders then carry a lower fence.
 */
import { pause, runCase, trouble } from '../stand-ins-2/case.mjs'
import { sendToFleet } from '../../packages/stand-ins/dist/index.js'

const intervalMs = 50

/** Asks an entry for one new adapter after the other, for `ms`. Resolves to the number of requests that were served. */
const load = async (fleet, name, entry, ms) => {
  const asked = []
  for (const until = performance.now() + ms; performance.now() < until;) {
    const id = `${name}-${asked.length}`
    asked.push(sendToFleet(fleet, { path: `/stream/${id}`, id, model: `base/${id}`, remainingMs: 2000, entry, headers: { 'token-usage': '50,50' } }).then(({ status }) => status === 200, () => false))
    await pause(intervalMs)
  }
  return (await Promise.all(asked)).filter(served => served).length
}

await runCase(import.meta.url, { domains: 4, entriesPerDomain: 2, plainServersPerDomain: 0, storeProxies: true }, async ({ fleet, record }) => {
  const [blind, reading] = fleet.entries
  const [side] = fleet.sides
  const [engine] = fleet.engines
  await pause(3500)
  record.write(`served before: ${await load(fleet, 'before', 0, 1000) + await load(fleet, 'before-2', 1, 1000)}`)
  if (trouble) {
    record.write(`the store turns ${blind.name} away, which then stands still`)
    fleet.storeProxies[0].fault = { type: 'silence' }
    await pause(100)
    fleet.signal(blind.process, 'SIGSTOP')
  }
  fleet.store.put('config', 'main', fleet.table(2))
  record.write(`the config changes, at revision ${fleet.store.revision}`)
  await pause(300)
  record.write(`${side.name} is killed and starts again`)
  await fleet.kill(side)
  await fleet.startProcess(side)
  record.write(`served by ${reading.name}: ${await load(fleet, 'between', 1, 1800)}`)
  record.write(`${side.name} and ${reading.name} are killed at once${trouble ? `, ${blind.name} goes on` : ''}; ${side.name} starts again`)
  await Promise.all([fleet.kill(side), fleet.kill(reading)])
  if (trouble) fleet.signal(blind.process, 'SIGCONT')
  await fleet.startProcess(side)
  record.write(`served by ${blind.name}: ${await load(fleet, 'after', 0, 2500)}`)
  await fleet.startProcess(reading)
  if (trouble) fleet.storeProxies[0].fault = { type: 'none' }
  let highest = 0
  let lower = 0
  let last
  for (const { fence, holder, operation, adapter } of engine.orders) {
    if (fence !== last) record.write(`order with fence ${fence} from ${holder}: ${operation} ${adapter ?? 'the model'}`)
    last = fence
    if (fence < highest) lower += 1
    highest = Math.max(highest, fence)
  }
  record.write(`${engine.orders.length} orders reached the engine, ${lower} of them with a lower fence than an earlier one`)
  return lower === 0
})
