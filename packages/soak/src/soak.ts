/**
 * Runs one soak: a small fleet of real processes under load and random faults that overlap and repeat, all drawn with a seed. Checks
 * the system's guarantees against the responses to callers and the requests and orders that reached the backend servers.
 */
import { Agent } from 'node:http'
import { pause } from '@finchpitch/core'
import { FaultProxy, FleetSystem } from '@finchpitch/stand-ins'
import { sendCrashingPart } from './crashing-part-scenario.js'
import { isEnginePath, sendRequest, type RequestResult } from './caller.js'
import { RouteChangeScenario } from './route-change-scenario.js'
import { Disturbances } from './disturbances.js'
import { killAndRestartAll, faultTable } from './faults.js'
import { eventsPerStream, checkResponses, checkResults, type SoakReport } from './check-results.js'
import { ServerLimitScenario } from './server-limit-scenario.js'
import { PlannedStopScenario } from './planned-stop-scenario.js'
import { SeededRandom } from './seeded-random.js'
import { RestoreScenario } from './restore-scenario.js'
import { SlowReaderScenario } from './slow-reader-scenario.js'
import { LeavingCallerScenario } from './leaving-caller-scenario.js'
import { retryBudgetViolations, type RetryBounds } from './retry-budget-check.js'
import { ResumedStreamScenario } from './resumed-stream-scenario.js'
import { LargeBodyScenario } from './large-body-scenario.js'
import { exitViolations } from './process-exits.js'
import { RestartInPlaceScenario } from './restart-in-place-scenario.js'
import { ProcessStartScenario } from './process-start-scenario.js'
import { ServiceWatch } from './service-watch.js'
import { TeamFloodScenario } from './team-flood-scenario.js'
import { UnreadLogScenario } from './unread-log-scenario.js'
import { UnevenPaceScenario } from './uneven-pace-scenario.js'
import { ServerFeedbackScenario, initialBornAt } from './server-feedback-scenario.js'

export interface SoakOptions {
  seed: number
  /** The second octet of the fleet's addresses, so that fleets on one host do not share addresses. */
  network: number
  /** Failure domains, 2 by default, and entries of each, 1 by default. */
  domains?: number
  entriesPerDomain?: number
  /** Time for which faults are injected. */
  faultMs: number
  /** The repository whose program the processes run; this one by default. */
  folder?: string | undefined
  log: (line: string) => void
}

/** Number of last log lines of each side process that are reported if a request is not served after recovery. */
const reportedLines = 12
const startMs = 2500
const requestIntervalMs = 12
/** Time after the last fault in which processes may reconnect; from then on all requests must be served again. */
const recoveryMs = 5000
/** Number of times that a caller sends a request that crashes the engine that runs it, after all faults. */
const crashAttempts = 6
/** Time between these requests, in which the crashed engine restarts and all entries learn of the crash. */
const crashIntervalMs = 1500
/** More crashes than this are a violation: the entries must have quarantined the request by then. */
const maxCrashes = 3
const crashPath = '/stream/fatal'
const retryBounds: RetryBounds = { retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 20 }
/** Offsets for the seeds of the scenarios' generators, far from the consecutive seeds of the runs. */
const seedOffset = 1_000_000_000
const halfSeedOffset = 500_000_000

export const soak = async ({ seed, network, faultMs, folder, log, domains = 2, entriesPerDomain = 1 }: SoakOptions): Promise<SoakReport> => {
  const random = new SeededRandom(seed)
  const proxies: FaultProxy[] = []
  const insertProxy = async (ip: string, port: number, target: number): Promise<void> => {
    const proxy = new FaultProxy()
    await proxy.start(ip, port, target)
    proxies.push(proxy)
  }
  const teamFlood = new TeamFloodScenario(new SeededRandom(seed + 7 * halfSeedOffset), log)
  const slowReaders = new SlowReaderScenario(new SeededRandom(seed + 9 * halfSeedOffset), log)
  const fleet = new FleetSystem({ network, domains, entriesPerDomain, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 80, workMs: 8, events: eventsPerStream, eventMs: 6, bornAt: initialBornAt, insertProxy, storeProxies: true, bounds: { ...teamFlood.bounds, ...retryBounds }, tenants: [teamFlood.tenant], ...(folder === undefined ? {} : { folder }), ...SlowReaderScenario.fleetOptions, routes: [...SlowReaderScenario.fleetOptions.routes, ...PlannedStopScenario.routes] })
  await fleet.start()
  const resumedStreams = new ResumedStreamScenario({ fleet, random: new SeededRandom(seed + 15 * halfSeedOffset), eventsPerStream, log })
  resumedStreams.assignVersions()
  await pause(startMs)
  const results: Array<Promise<RequestResult>> = []
  const agents = fleet.entries.map(() => new Agent({ keepAlive: true, maxSockets: 40 }))
  const stopCallers = new AbortController()
  const callers = (async () => {
    for (let each = 0; !stopCallers.signal.aborted; each++) {
      results.push(sendRequest(fleet, random, agents, `soak-${seed}-${each}`))
      await pause(requestIntervalMs)
    }
  })()
  const disturbances = new Disturbances()
  // Each scenario has its own generator, so that adding one does not change the faults that a seed draws.
  const feedback = new ServerFeedbackScenario(fleet, new SeededRandom(seed + seedOffset), log)
  const serverLimits = new ServerLimitScenario(fleet, new SeededRandom(seed + 2 * seedOffset), log)
  const faultRandom = new SeededRandom(seed + 3 * halfSeedOffset)
  const routeChanges = new RouteChangeScenario({
    fleet,
    random: { operator: new SeededRandom(seed + halfSeedOffset), troubles: faultRandom },
    disturbances,
    killAndRestartAll: async () => await killAndRestartAll({ fleet, random: faultRandom, proxies, disturbances }),
    log
  })
  const restores = new RestoreScenario({ fleet, random: new SeededRandom(seed + 5 * halfSeedOffset), disturbances, log })
  const unevenPace = new UnevenPaceScenario(fleet, new SeededRandom(seed + 11 * halfSeedOffset), log)
  const leavingCallers = new LeavingCallerScenario({ fleet, random: new SeededRandom(seed + 13 * halfSeedOffset), disturbances })
  const processStarts = new ProcessStartScenario({ fleet, random: new SeededRandom(seed + 19 * halfSeedOffset), proxies, disturbances }, log)
  const unreadLogs = new UnreadLogScenario({ fleet, random: new SeededRandom(seed + 25 * halfSeedOffset), proxies, disturbances }, log)
  const plannedStops = new PlannedStopScenario(fleet, new SeededRandom(seed + 27 * halfSeedOffset), log)
  const largeBodies = new LargeBodyScenario(fleet, new SeededRandom(seed + 21 * halfSeedOffset), log)
  const restartsInPlace = new RestartInPlaceScenario(fleet, new SeededRandom(seed + 23 * halfSeedOffset), log)
  const watch = new ServiceWatch(fleet, disturbances)
  const stopFlood = new AbortController()
  const flood = teamFlood.run(fleet, stopFlood.signal)
  const endsAt = Date.now() + faultMs
  const scenarios = Promise.all([feedback.run(faultMs), serverLimits.run(faultMs), routeChanges.run(faultMs), restores.run(faultMs), unevenPace.run(faultMs), leavingCallers.run(faultMs), resumedStreams.run(faultMs), processStarts.run(faultMs), restartsInPlace.run(faultMs), unreadLogs.run(faultMs)])
  const faults: Array<Promise<void>> = []
  while (Date.now() < endsAt) {
    const fault = random.pick(faultTable)
    log(`${Date.now() - endsAt + faultMs} ms ${fault.name}`)
    faults.push(fault.inject({ fleet, random, proxies, disturbances }))
    await pause(random.between(100, 900))
  }
  await Promise.all([...faults, scenarios])
  await serverLimits.runUndisturbed()
  stopFlood.abort()
  const floodResults = await flood
  await pause(recoveryMs)
  stopCallers.abort()
  await callers
  const finalResults: RequestResult[] = []
  for (let each = 0; each < 12; each++) finalResults.push(await sendRequest(fleet, random, agents, `soak-${seed}-last-${each}`))
  const allResults = [...await Promise.all(results), ...finalResults]
  const servers = [...fleet.engines, ...fleet.plainServers]
  const report = { ...checkResults(allResults, servers), overQuota: teamFlood.overQuota, quotaShare: teamFlood.quotaShare(servers) }
  report.broken.push(...checkResponses(floodResults, servers), ...teamFlood.violations(servers))
  report.broken.push(...feedback.violations(allResults, disturbances), ...serverLimits.violations(allResults, disturbances), ...routeChanges.violations(), ...leavingCallers.violations(), ...resumedStreams.violations())
  const sent = [...allResults, ...floodResults]
  report.broken.push(...retryBudgetViolations('engines', fleet.engines, sent.filter(({ path }) => isEnginePath(path)), retryBounds))
  report.broken.push(...retryBudgetViolations('plain servers', fleet.plainServers, sent.filter(({ path }) => !isEnginePath(path)), retryBounds))
  const unserved = finalResults.filter(result => result.status !== 200)
  for (const { id, path, status } of unserved) {
    const lines = fleet.entries.flatMap(entry => entry.output).filter(line => line.includes(`"${id}"`))
    report.broken.push([`not served after recovery: ${id} ${path}, status ${status}`, ...lines].join('\n    '))
  }
  if (unserved.length > 0) report.details.push(...fleet.sides.flatMap(side => side.output.slice(-reportedLines)))
  await plannedStops.runUndisturbed()
  report.broken.push(...plannedStops.violations())
  report.plannedStop = plannedStops.counts
  await slowReaders.runUndisturbed(fleet)
  report.stalledPeers = slowReaders.stalled
  report.resumed = resumedStreams.counts
  report.broken.push(...slowReaders.violations())
  // After the parts that measure how late requests are: servers and callers run in the process that sends the bodies.
  const bodies = largeBodies.run(crashAttempts * crashIntervalMs / 2)
  report.broken.push(...await sendCrashingRequest(fleet, random, agents, seed))
  await bodies
  report.broken.push(...await sendCrashingPart({ fleet, random: new SeededRandom(seed + 17 * halfSeedOffset), agents, seed }))
  report.broken.push(...processStarts.violations, ...await watch.stop())
  const { endedEarly, violations } = exitViolations(fleet, log)
  report.broken.push(...violations)
  Object.assign(report, { starts: fleet.starts, endedEarly, peakMb: { entry: fleet.peakMb('entry'), side: fleet.peakMb('side') } })
  if (report.broken.length > 0) report.details.push(`logs written to ${await fleet.saveLogLines(`soak-${seed}`)}`)
  for (const agent of agents) agent.destroy()
  await fleet.stop()
  await Promise.all(proxies.map(proxy => proxy.stop()))
  return report
}

/**
 * Without other faults, sends a request that crashes every engine that runs it, repeatedly and to any entry. Returns a violation if it
 * crashed more engines than allowed.
 */
const sendCrashingRequest = async (fleet: FleetSystem, random: SeededRandom, agents: Agent[], seed: number): Promise<string[]> => {
  for (const engine of fleet.engines) engine.crashPath = crashPath
  const results: RequestResult[] = []
  for (let each = 0; each < crashAttempts; each++) {
    results.push(await sendRequest(fleet, random, agents, `soak-${seed}-fatal-${each}`, crashPath))
    await pause(crashIntervalMs)
  }
  const crashes = fleet.engines.flatMap(engine => engine.startedIds).filter(id => id.startsWith(`soak-${seed}-fatal-`)).length
  if (crashes <= maxCrashes) return []
  const lines = fleet.entries.flatMap(entry => entry.output).filter(line => /request\.(broke_off|quarantined|released)|server\.replaced/.test(line))
  return [`one request crashed ${crashes} engines; status codes of its responses: ${results.map(result => result.status).join(' ')}`, ...lines.slice(-reportedLines)]
}
