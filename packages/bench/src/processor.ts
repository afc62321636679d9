/**
 * `npm run bench -- processor [FOLDER...]`: processor time (user and system) of the platform's program, run from its bundle with the
 * flags of `deploy/system.toml`, on loopback against stand-ins.
 *
 * Each folder is a checkout that has been built; the default is this one. The fleets of all folders run side by side under the same
 * load, so that changes of the machine's pace affect them alike. A bare relay from `node:http` to `node:http` in a process of its own
 * gets the load of one entry at the same time; the ratio to it depends less on the machine than the times themselves.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { Agent, request } from 'node:http'
import { basename, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '@finchpitch/core'
import { BackendStandIn, FleetSystem, type FleetOptions } from '@finchpitch/stand-ins'
import { readProcessUsage } from './measure.js'
import { publishReport, roundSignificant, type Report, type Row } from './report.js'

/** The second octet of the loopback addresses of the first fleet. */
const firstNetwork = 180
const entries = 3
const engines = 8
const plainServers = 4
const generationsPerSecond = 8
const plainPerSecond = 9
/** Share of the requests whose callers open a new connection. */
const newConnectionShare = 0.8
const adapters = 60
const teams = 4
const work = { workMs: 43, events: 12, eventMs: 25 }
const relayPort = 8149
const phaseMs = { 'first 10 s': 10_000, 'steady 30 s': 30_000, 'at rest 8 s': 8000, 'plain only 10 s': 10_000, 'generations only 10 s': 10_000 }
type Phase = keyof typeof phaseMs
const rates: Record<Phase, { generations: number, plain: number }> = {
  'first 10 s': { generations: generationsPerSecond, plain: plainPerSecond },
  'steady 30 s': { generations: generationsPerSecond, plain: plainPerSecond },
  'at rest 8 s': { generations: 0, plain: 0 },
  'plain only 10 s': { generations: 0, plain: 2 * plainPerSecond },
  'generations only 10 s': { generations: 2 * generationsPerSecond, plain: 0 }
}
/** Time for the last requests of a phase to end. */
const settleMs = 700

/** Forwards each request to the server whose address its own path starts with. */
const relaySource = `
const { Agent, createServer, request } = require('node:http')
const agent = new Agent({ keepAlive: true })
createServer((incoming, response) => {
  const [, host, ...path] = incoming.url.split('/')
  const outgoing = request({ host, port: 8145, agent, method: incoming.method, path: '/' + path.join('/'), headers: incoming.headers }, answer => {
    response.writeHead(answer.statusCode, answer.headers)
    answer.pipe(response)
  })
  outgoing.on('error', () => response.destroy())
  incoming.pipe(outgoing)
}).listen(${relayPort}, process.argv[1])`

interface Target { host: string, port: number, path: (generation: boolean) => string }

const keptConnections = new Agent({ keepAlive: true })
const counts = new Map<string, number>()
let sent = 0

export interface Call { host: string, port: number, path: string, headers: Record<string, string>, agent: Agent | false }

/** The end of a call: its status or how it failed, and the time that `Retry-After` states. */
export interface CallEnd { outcome: string, retryAfterMs?: number }

/** Sends one request and resolves, when the response is complete or has failed, with how it ended. */
export const call = (options: Call): Promise<CallEnd> => new Promise(resolve => {
  const outgoing = request({ ...options, method: 'POST' }, response => {
    const retryAfter = response.headers['retry-after']
    const end = { outcome: `status ${response.statusCode ?? 0}`, ...(retryAfter === undefined ? {} : { retryAfterMs: Number(retryAfter) * 1000 }) }
    response.resume().on('end', () => resolve(end)).on('error', () => resolve({ outcome: 'interrupted' }))
  })
  outgoing.on('error', error => resolve({ outcome: error.message })).end('{"ask":1}')
})

const send = async ({ host, port, path }: Target, generation: boolean): Promise<void> => {
  sent += 1
  // Squared, so that some adapters are far more popular than others.
  const adapter = `base/a${Math.floor(Math.random() ** 2 * adapters)}`
  const isRelay = path(true) !== '/stream/x'
  const headers = {
    host: 'fleet.example',
    'request-id': `r${sent}`,
    'deadline-ms': '5000',
    'token-usage': generation ? '650,72' : '100,100',
    authorization: `Token k${sent % teams}`,
    ...(generation ? { model: isRelay ? 'base' : adapter } : {})
  }
  const agent = Math.random() < newConnectionShare ? false : keptConnections
  const { outcome } = await call({ host, port, path: path(generation), headers, agent })
  counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
}

/** Calls `sendOne` at random moments, `rate` times a second on average, and resolves once all that it sent has ended. */
export const sendAtRate = async (rate: number, endsAt: number, sendOne: () => Promise<void>): Promise<void> => {
  if (rate === 0) return await pause(endsAt - performance.now())
  const running: Array<Promise<void>> = []
  for (let at = performance.now(); at < endsAt; at -= Math.log(1 - Math.random()) * 1000 / rate) {
    await pause(Math.max(0, at - performance.now()))
    running.push(sendOne())
  }
  await Promise.all(running)
}

/** Processor time of the processes, in ms, on average. */
export const cpuMs = async (pids: Array<number | undefined>): Promise<number> => {
  const usages = await Promise.all(pids.map(readProcessUsage))
  return usages.reduce((sum, { cpuSeconds }) => sum + cpuSeconds * 1000, 0) / pids.length
}

/** A measured group of processes, all with the same work. */
interface Group { name: string, pids: Array<number | undefined>, cpu: Map<string, number> }

/** A fleet that runs the program built in `folder`; `layout` replaces the layout, and `flags` are added to those of each role. */
export const createFleet = (folder: string, network: number, layout: Partial<FleetOptions> = {}, flags: string[] = []): FleetSystem => new FleetSystem({
  network,
  domains: 1,
  entriesPerDomain: entries,
  enginesPerDomain: engines,
  plainServersPerDomain: plainServers,
  adapterSlots: 13,
  loadMs: 288,
  ...work,
  ...layout,
  folder,
  nodeOptions: flags
})

/** Starts a fleet with `count` teams, each with its key and the same quota in tokens. */
export const startFleet = async (fleet: FleetSystem, count = teams, ratePerS = 100_000): Promise<void> => {
  await fleet.start()
  const tenants = Array.from({ length: count }, (_, index) => ({ name: `team-${index}`, apiKeys: [`k${index}`], unit: 'tokens', plainTokens: 200, ratePerS, burst: ratePerS }))
  fleet.store.put('config', 'main', fleet.table(2, { tenants }))
}

interface Relay { target: Target, process: ChildProcess, stop: () => Promise<void> }

/** Starts the relay with a plain server and an engine of its own. */
const startRelay = async (network: number): Promise<Relay> => {
  const [engine, plain] = [`127.${network}.3.1`, `127.${network}.3.2`]
  const servers = [new BackendStandIn({ id: 'engine', engine: { model: 'base', places: 1, loadMs: 0 }, ...work }), new BackendStandIn({ id: 'plain', ...work })]
  await servers[0]?.start(engine, 8145)
  await servers[1]?.start(plain, 8145)
  const host = `127.${network}.3.3`
  const child = spawn(process.execPath, ['-e', relaySource, host], { stdio: ['ignore', 'inherit', 'inherit'] })
  await pause(settleMs)
  const stop = async (): Promise<void> => {
    child.kill()
    await once(child, 'exit')
    await Promise.all(servers.map(server => server.stop()))
  }
  return { target: { host, port: relayPort, path: generation => `/${generation ? engine : plain}/x` }, process: child, stop }
}

const rowsOf = ({ name, cpu }: Group, relay: Group): Row[] => {
  const total = (of: Group): number => [...of.cpu].reduce((sum, [phase, ms]) => sum + (phase === 'start' || phase in lifePhases ? ms : 0), 0)
  const per = (phase: Phase, count: number, of = cpu): number => ((of.get(phase) ?? 0) - (of.get('at rest 8 s') ?? 0) * phaseMs[phase] / phaseMs['at rest 8 s']) / count
  const perPlain = (of?: Map<string, number>): number => per('plain only 10 s', 2 * plainPerSecond * 10, of)
  const perGeneration = (of?: Map<string, number>): number => per('generations only 10 s', 2 * generationsPerSecond * 10, of)
  const isSide = name.endsWith('side')
  return [{
    'ms of processor time': name,
    start: Math.round(cpu.get('start') ?? NaN),
    'first 10 s': Math.round(cpu.get('first 10 s') ?? NaN),
    'next 30 s': Math.round(cpu.get('steady 30 s') ?? NaN),
    life: Math.round(total({ name, cpu, pids: [] })),
    'of the relay': roundSignificant(total({ name, cpu, pids: [] }) / total(relay)),
    'at rest, per s': roundSignificant((cpu.get('at rest 8 s') ?? NaN) / 8),
    ...(isSide ? {} : { 'a plain request': roundSignificant(perPlain()), 'of the relay ': roundSignificant(perPlain() / perPlain(relay.cpu)) }),
    'a generation': roundSignificant(perGeneration()),
    ...(isSide ? {} : { 'of the relay  ': roundSignificant(perGeneration() / perGeneration(relay.cpu)) })
  }]
}

const lifePhases: Partial<Record<Phase, true>> = { 'first 10 s': true, 'steady 30 s': true }

/** The checkouts to measure: those named as arguments, or this one. */
export const foldersOf = (args: string[]): string[] => args.length > 0 ? args : [fileURLToPath(new URL('../../..', import.meta.url))]

export const measureProcessor = async (): Promise<void> => {
  const folders = foldersOf(process.argv.slice(3))
  const relay = await startRelay(firstNetwork - 1)
  const fleets = folders.map((folder, index) => createFleet(folder, firstNetwork + index))
  try {
    await Promise.all(fleets.map(fleet => startFleet(fleet)))
    await publishReport(await measureFleets(folders, fleets, relay))
  } finally {
    keptConnections.destroy()
    await Promise.all([relay.stop(), ...fleets.map(fleet => fleet.stop())])
  }
}

const measureFleets = async (folders: string[], fleets: FleetSystem[], relay: Relay): Promise<Report> => {
  await pause(settleMs)
  const targets = [relay.target, ...fleets.flatMap(fleet => fleet.entries.map((_, index) => ({ ...fleet.callerAddress(index), path: (generation: boolean) => generation ? '/stream/x' : '/again/x' })))]
  const groups: Group[] = [{ name: 'relay', pids: [relay.process.pid], cpu: new Map() }]
  for (const [index, fleet] of fleets.entries()) {
    const name = basename(resolve(folders[index] ?? ''))
    groups.push({ name: `${name} entry`, pids: fleet.entries.map(machine => machine.process?.pid), cpu: new Map() })
    groups.push({ name: `${name} side`, pids: fleet.sides.map(machine => machine.process?.pid), cpu: new Map() })
  }
  const measured = async (): Promise<number[]> => await Promise.all(groups.map(group => cpuMs(group.pids)))
  let before = await measured()
  for (const [index, group] of groups.entries()) group.cpu.set('start', before[index] ?? NaN)
  for (const phase of Object.keys(phaseMs) as Phase[]) {
    const endsAt = performance.now() + phaseMs[phase]
    const { generations, plain } = rates[phase]
    await Promise.all(targets.flatMap(target => [sendAtRate(generations, endsAt, () => send(target, true)), sendAtRate(plain, endsAt, () => send(target, false))]))
    await pause(settleMs)
    const after = await measured()
    for (const [index, group] of groups.entries()) group.cpu.set(phase, (after[index] ?? NaN) - (before[index] ?? NaN))
    before = after
  }
  process.stdout.write(`responses: ${JSON.stringify(Object.fromEntries(counts))}\n`)
  const about = `${generationsPerSecond} generations/s and ${plainPerSecond} plain requests/s for each entry; ${entries} entries and ${engines} side processes; ms for one process, user and system; life: the start and 40 s`
  return { name: 'processor', about, rows: groups.flatMap(group => rowsOf(group, groups[0] as Group)) }
}
