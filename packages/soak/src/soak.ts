/**
 * One soak: a small fleet of real processes under load and random faults, overlapping and repeated, all drawn from a
 * seed. What is promised is checked from what callers got and backend servers saw.
 */
import { Agent, request } from 'node:http'
import { pause } from '@finchpitch/core'
import { FleetSystem, type BackendStandIn, type Machine } from '@finchpitch/stand-ins'
import { FaultProxy } from './fault-proxy.js'
import { Dice } from './random.js'

/** A number that tells the fleets of one machine apart in their addresses. */
export interface SoakOptions {
  seed: number
  network: number
  /** How long faults are dealt. */
  faultMs: number
  log: (line: string) => void
}

export interface SoakReport {
  asked: number
  answered: number
  refused: number
  unknown: number
  cut: number
  /** Promises that were broken, each with the request that shows it. */
  broken: string[]
}

interface Result {
  id: string
  path: string
  status: number
  body: string
  whole: boolean
}

/** Lines of each side process that are told with a request that was not served at the end. */
const lastLines = 12
const startMs = 2500
const askEveryMs = 12
const remainingMs = 1500
/** All faults are over and reconnects done: from here on everything must be answered again. */
const recoverMs = 5000
const events = 6
/** After all faults, a caller sends a request that ends its engines so often, */
const fatalTries = 6
/** each once the engine before is back and everybody knows. */
const fatalRestMs = 1500
const mostFatalRuns = 3
const fatalPath = '/stream/fatal'
const paths = ['/once/x', '/again/x', '/stream/x', '/resume/x'] as const

export const soak = async ({ seed, network, faultMs, log }: SoakOptions): Promise<SoakReport> => {
  const dice = new Dice(seed)
  const proxies: FaultProxy[] = []
  const between = async (ip: string, port: number, target: number): Promise<void> => {
    const proxy = new FaultProxy()
    await proxy.start(ip, port, target)
    proxies.push(proxy)
  }
  const fleet = new FleetSystem({ network, domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, plainPerDomain: 1, places: 4, loadMs: 80, workMs: 8, events, eventMs: 6, between })
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
  const until = Date.now() + faultMs
  const faults: Array<Promise<void>> = []
  while (Date.now() < until) {
    const fault = dice.pick(faultTable)
    log(`${Date.now() - until + faultMs} ms ${fault.name}`)
    faults.push(fault.deal({ fleet, dice, proxies }))
    await pause(dice.between(100, 900))
  }
  await Promise.all(faults)
  await pause(recoverMs)
  asked.abort()
  await asker
  const last: Result[] = []
  for (let each = 0; each < 12; each++) last.push(await ask(fleet, dice, agents, `soak-${seed}-last-${each}`))
  const all = [...await Promise.all(results), ...last]
  const report = judge(all, [...fleet.engines, ...fleet.plain])
  const unserved = last.filter(result => result.status !== 200)
  for (const { id, path, status } of unserved) {
    const lines = fleet.entries.flatMap(entry => entry.output).filter(line => line.includes(`"${id}"`))
    report.broken.push([`not recovered: ${id} ${path} ${status}`, ...lines].join('\n    '))
  }
  if (unserved.length > 0) report.broken.push(...fleet.sides.flatMap(side => side.output.slice(-lastLines)))
  report.broken.push(...await sendFatal(fleet, dice, agents, seed))
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

const ask = (fleet: FleetSystem, dice: Dice, agents: Agent[], id: string, path: string = dice.pick(paths)): Promise<Result> => new Promise(resolve => {
  const entry = dice.between(0, fleet.entries.length - 1)
  const engine = path.startsWith('/stream') || path.startsWith('/resume')
  const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': String(remainingMs), ...(engine ? { model: `base/a${dice.between(1, 10)}` } : {}) }
  let status = 0
  let body = ''
  const end = (whole: boolean): void => resolve({ id, path, status, body, whole })
  const outgoing = request({ ...fleet.callerAddress(entry), agent: agents[entry], method: 'POST', path, headers }, answer => {
    status = answer.statusCode ?? 0
    answer.setEncoding('utf8').on('data', (piece: string) => { body += piece })
    answer.on('end', () => end(true))
    answer.on('error', () => end(false))
  })
  outgoing.setTimeout(remainingMs * 3, () => outgoing.destroy())
  outgoing.on('error', () => end(false))
  outgoing.end('{}')
})

interface Scene {
  fleet: FleetSystem
  dice: Dice
  proxies: FaultProxy[]
}

interface Fault {
  name: string
  deal: (scene: Scene) => Promise<void>
}

const machines = ({ fleet }: Scene): Machine[] => [...fleet.entries, ...fleet.sides]

const restart = async (scene: Scene, machine: Machine, signal: NodeJS.Signals): Promise<void> => {
  await scene.fleet.kill(machine, signal)
  await pause(scene.dice.between(50, 500))
  await scene.fleet.startProcess(machine)
}

/** One machine is stopped by one fault at a time; the others go on. */
const busy = new WeakSet<Machine>()

const withMachine = async (scene: Scene, act: (machine: Machine) => Promise<void>): Promise<void> => {
  const machine = scene.dice.pick(machines(scene))
  if (busy.has(machine)) return
  busy.add(machine)
  await act(machine)
  busy.delete(machine)
}

const harmed = async ({ dice, proxies }: Scene, harm: FaultProxy['harm']): Promise<void> => {
  const proxy = dice.pick(proxies)
  proxy.harm = harm
  await pause(dice.between(200, 2000))
  proxy.harm = { type: 'none' }
  // What was withheld is not delivered late: the link was cut, not slow.
  if (harm.type !== 'delay') proxy.resetAll()
}

const faulty = async (scene: Scene, fault: BackendStandIn['fault']): Promise<void> => {
  const server = scene.dice.pick([...scene.fleet.engines, ...scene.fleet.plain])
  server.fault = fault
  await pause(scene.dice.between(200, 1500))
  server.fault = 'none'
}

const faultTable: Fault[] = [
  { name: 'a process is killed', deal: async scene => await withMachine(scene, async machine => await restart(scene, machine, 'SIGKILL')) },
  { name: 'a process is stopped and started', deal: async scene => await withMachine(scene, async machine => await restart(scene, machine, 'SIGTERM')) },
  {
    name: 'a process stands still',
    deal: async scene => await withMachine(scene, async machine => {
      machine.process?.kill('SIGSTOP')
      await pause(scene.dice.between(200, 2500))
      machine.process?.kill('SIGCONT')
    })
  },
  { name: 'the settings are read again', deal: async scene => { scene.dice.pick(machines(scene)).process?.kill('SIGHUP') } },
  { name: 'connections are slow', deal: async scene => await harmed(scene, { type: 'delay', ms: scene.dice.between(20, 300) }) },
  { name: 'connections are reset', deal: async scene => await harmed(scene, { type: 'reset' }) },
  { name: 'connections are silent', deal: async scene => await harmed(scene, { type: 'silence' }) },
  { name: 'answers are cut off', deal: async scene => await harmed(scene, { type: 'one_way' }) },
  { name: 'open connections are reset once', deal: async scene => { scene.dice.pick(scene.proxies).resetAll() } },
  ...(['reset', 'failing', 'shedding', 'torn', 'unsealed', 'foreign', 'mute'] as const).map(fault =>
    ({ name: `a server is ${fault}`, deal: async (scene: Scene) => await faulty(scene, fault) })),
  {
    name: 'the store is away',
    deal: async ({ fleet, dice }) => {
      fleet.store.fault = dice.pick(['busy', 'reset', 'silent'] as const)
      await pause(dice.between(300, 2500))
      fleet.store.fault = 'none'
    }
  },
  { name: 'the store forgets its history', deal: async ({ fleet }) => fleet.store.compact() },
  { name: 'the configuration changes', deal: async ({ fleet }) => fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 100)) },
  {
    name: 'a version is named',
    deal: async ({ fleet, dice }) => {
      const adapter = `a${dice.between(1, 10)}`
      fleet.store.put('versions', `base.${adapter}`, { model: 'base', adapter, version: fleet.store.revision })
    }
  },
  {
    name: 'orders are late',
    deal: async ({ fleet, dice }) => {
      const engine = dice.pick(fleet.engines)
      engine.lateOrdersMs = dice.between(300, 2000)
      await pause(dice.between(300, 1500))
      engine.lateOrdersMs = 0
    }
  }
]

const wholeStream = (body: string): boolean => {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
  return ids.length === events && ids.every((id, index) => id === index + 1)
}

const judge = (results: Result[], servers: BackendStandIn[]): SoakReport => {
  const runs = new Map<string, number>()
  for (const server of servers) for (const id of server.ran) runs.set(id, (runs.get(id) ?? 0) + 1)
  const broken: string[] = []
  for (const { id, path, status, body, whole } of results) {
    const ran = runs.get(id) ?? 0
    const single = path === '/once/x' || path === '/stream/x'
    if (single && ran > 1) broken.push(`${id} ${path} ran ${ran} times`)
    if (single && status === 503 && ran > 0) broken.push(`${id} ${path} was told as not run and ran`)
    if (status === 200 && whole && (path === '/once/x' || path === '/again/x') && !body.includes(id)) broken.push(`${id} ${path} got another answer: ${body}`)
    if (status === 200 && whole && path.startsWith('/stream') && !wholeStream(body)) broken.push(`${id} ${path} looks whole and is not`)
    if (status === 200 && whole && path.startsWith('/resume') && !wholeStream(body)) broken.push(`${id} ${path} is joined wrongly`)
    if (status === 404) broken.push(`${id} ${path} was told that there is no route`)
  }
  for (const server of servers) {
    if (server.fell) broken.push(`${server.id} was ordered beyond its places`)
    const fences = server.orders.map(order => order.fence)
    if (fences.some((fence, index) => index > 0 && fence < (fences[index - 1] ?? 0))) broken.push(`${server.id} had a lower fence after a higher one`)
    if (new Set(server.orders.map(order => order.holder)).size > 1) broken.push(`${server.id} had orders from two machines`)
  }
  const count = (check: (result: Result) => boolean): number => results.filter(check).length
  return {
    asked: results.length,
    answered: count(result => result.status === 200 && result.whole),
    refused: count(result => result.status === 503),
    unknown: count(result => result.status === 502 || result.status === 504),
    cut: count(result => !result.whole),
    broken
  }
}
