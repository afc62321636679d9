/**
 * One soak: a small fleet of real processes under load and random faults, overlapping and repeated, all drawn from a
 * seed. What is promised is checked from what callers got and backend servers saw.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import { FaultProxy, FleetSystem } from '@finchpitch/stand-ins'
import { ask, type Result } from './caller.js'
import { Changes } from './changes.js'
import { Disturbances } from './disturbances.js'
import { endAll, faultTable } from './faults.js'
import { events, judge, type SoakReport } from './judge.js'
import { Limits } from './limits.js'
import { Dice } from './random.js'
import { Restores } from './restores.js'
import { Words, firstStart } from './words.js'

/** A number that tells the fleets of one machine apart in their addresses. */
export interface SoakOptions {
  seed: number
  network: number
  /** How long faults are dealt. */
  faultMs: number
  log: (line: string) => void
}

/** Lines of each side process that are told with a request that was not served at the end. */
const lastLines = 12
const startMs = 2500
const askEveryMs = 12
/** All faults are over and reconnects done: from here on everything must be answered again. */
const recoverMs = 5000
/** After all faults, a caller sends a request that ends its engines so often, */
const fatalTries = 6
/** each once the engine before is back and everybody knows. */
const fatalRestMs = 1500
const mostFatalRuns = 3
const fatalPath = '/stream/fatal'
/** Far from the seeds that are played one after the other. */
const wordSeeds = 1_000_000_000
const changeSeeds = 500_000_000

export const soak = async ({ seed, network, faultMs, log }: SoakOptions): Promise<SoakReport> => {
  const dice = new Dice(seed)
  const proxies: FaultProxy[] = []
  const between = async (ip: string, port: number, target: number): Promise<void> => {
    const proxy = new FaultProxy()
    await proxy.start(ip, port, target)
    proxies.push(proxy)
  }
  const fleet = new FleetSystem({ network, domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, plainPerDomain: 1, places: 4, loadMs: 80, workMs: 8, events, eventMs: 6, bornAt: firstStart, between, storeFronts: true })
  await fleet.start()
  await pause(startMs)
  const results: Array<Promise<Result>> = []
  const agents = fleet.entries.map(() => new Agent({ keepAlive: true, maxSockets: 40 }))
  const asked = new AbortController()
  const asker = (async () => {
    for (let each = 0; !asked.signal.aborted; each++) {
      results.push(ask(fleet, dice, agents, `soak-${seed}-${each}`))
      await pause(askEveryMs)
    }
  })()
  const disturbances = new Disturbances()
  // Dice of their own, so that a seed deals the other faults as ever.
  const words = new Words(fleet, new Dice(seed + wordSeeds), log)
  const limits = new Limits(fleet, new Dice(seed + 2 * wordSeeds), log)
  const troubles = new Dice(seed + 3 * changeSeeds)
  const changes = new Changes({
    fleet,
    dice: { operator: new Dice(seed + changeSeeds), troubles },
    disturbances,
    endAll: async () => await endAll({ fleet, dice: troubles, proxies, disturbances }),
    log
  })
  const restores = new Restores({ fleet, dice: new Dice(seed + 5 * changeSeeds), disturbances, log })
  const until = Date.now() + faultMs
  const spoken = Promise.all([words.deal(faultMs), limits.deal(faultMs), changes.deal(faultMs), restores.deal(faultMs)])
  const faults: Array<Promise<void>> = []
  while (Date.now() < until) {
    const fault = dice.pick(faultTable)
    log(`${Date.now() - until + faultMs} ms ${fault.name}`)
    faults.push(fault.deal({ fleet, dice, proxies, disturbances }))
    await pause(dice.between(100, 900))
  }
  await Promise.all([...faults, spoken])
  await limits.calm()
  await pause(recoverMs)
  asked.abort()
  await asker
  const last: Result[] = []
  for (let each = 0; each < 12; each++) last.push(await ask(fleet, dice, agents, `soak-${seed}-last-${each}`))
  const all = [...await Promise.all(results), ...last]
  const report = judge(all, [...fleet.engines, ...fleet.plain])
  report.broken.push(...words.judge(all, disturbances), ...limits.judge(all, disturbances), ...changes.judge())
  const unserved = last.filter(result => result.status !== 200)
  for (const { id, path, status } of unserved) {
    const lines = fleet.entries.flatMap(entry => entry.output).filter(line => line.includes(`"${id}"`))
    report.broken.push([`not recovered: ${id} ${path} ${status}`, ...lines].join('\n    '))
  }
  if (unserved.length > 0) report.broken.push(...fleet.sides.flatMap(side => side.output.slice(-lastLines)))
  report.broken.push(...await sendFatal(fleet, dice, agents, seed))
  if (report.broken.length > 0) report.broken.push(`logs kept: ${await fleet.keepLines(`soak-${seed}`)}`)
  for (const agent of agents) agent.destroy()
  await fleet.stop()
  await Promise.all(proxies.map(proxy => proxy.stop()))
  return report
}

/** All is well, and one request ends each engine that runs it, at whichever entry it comes: gives what of the promise is broken. */
const sendFatal = async (fleet: FleetSystem, dice: Dice, agents: Agent[], seed: number): Promise<string[]> => {
  for (const engine of fleet.engines) engine.fatalPath = fatalPath
  const results: Result[] = []
  for (let each = 0; each < fatalTries; each++) {
    results.push(await ask(fleet, dice, agents, `soak-${seed}-fatal-${each}`, fatalPath))
    await pause(fatalRestMs)
  }
  const runs = fleet.engines.flatMap(engine => engine.ran).filter(id => id.startsWith(`soak-${seed}-fatal-`)).length
  if (runs <= mostFatalRuns) return []
  const lines = fleet.entries.flatMap(entry => entry.output).filter(line => /request\.(broke_off|quarantined|released)|server\.replaced/.test(line))
  return [`a request ended ${runs} engines; its answers: ${results.map(result => result.status).join(' ')}`, ...lines.slice(-lastLines)]
}
