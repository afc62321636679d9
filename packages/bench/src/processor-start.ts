/**
 * `npm run bench -- processor-start [FOLDER...]`: processor time of a process's first seconds after a power loss of all processes.
 *
 * Each folder is a checkout that has been built; the default is this one. In each round the processes of one folder are killed and
 * started at once while callers send requests from the first moment; the folders take turns. `SHARE` (0 to 1) holds each entry to that
 * share of a core, by stopping and continuing it within periods of 100 ms.
 */
import { readFile, readdir } from 'node:fs/promises'
import { request } from 'node:http'
import { basename, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '@finchpitch/core'
import { FleetSystem, type Machine } from '@finchpitch/stand-ins'
import { createFleet } from './processor.js'
import { publishReport, roundSignificant, type Row } from './report.js'

const firstNetwork = 186
const layout = { domains: 2, entriesPerDomain: 3, enginesPerDomain: 10, plainServersPerDomain: 30 }
const rounds = Number(process.env.ROUNDS ?? 5)
const share = Number(process.env.SHARE ?? 1)
const requestsPerSecond = 27
const countedResponses = 20
const runMs = 4000
const quotaPeriodMs = 100
const adapters = 60

/** Processor time of all threads of a process, in ms. */
const processorMs = async (pid: number): Promise<number> => {
  const threads = await readdir(`/proc/${pid}/task`)
  const times = await Promise.all(threads.map(async thread => Number((await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8')).split(' ')[0])))
  return times.reduce((sum, ns) => sum + ns / 1e6, 0)
}

/** Lets the process run for its share of each period. What it used beyond that, as it was stopped late, is taken from the next periods. */
const holdToShare = async (machine: Machine, endsAt: number): Promise<void> => {
  const child = machine.process
  if (child?.pid === undefined) return
  const startedAt = performance.now()
  for (let period = startedAt; period < endsAt; period += quotaPeriodMs) {
    const allowed = share * (period + quotaPeriodMs - startedAt)
    let used = await processorMs(child.pid).catch(() => Infinity)
    if (used < allowed) child.kill('SIGCONT')
    while (performance.now() < period + quotaPeriodMs && used < allowed) {
      await pause(1)
      used = await processorMs(child.pid).catch(() => Infinity)
    }
    child.kill('SIGSTOP')
    await pause(Math.max(0, period + quotaPeriodMs - performance.now()))
  }
  child.kill('SIGCONT')
}

const counts = new Map<string, number>()
let sent = 0

/** Sends one request, and again after a short while as long as the entry does not listen. Resolves with whether it was served. */
const send = async (host: string, port: number, generation: boolean): Promise<boolean> => {
  sent += 1
  const headers = { host: 'fleet.example', 'request-id': `s${sent}`, 'deadline-ms': '5000', 'token-usage': generation ? '650,72' : '100,100', ...(generation ? { model: `base/a${Math.floor(Math.random() ** 2 * adapters)}` } : {}) }
  const outcome = await new Promise<string>(resolve => {
    const outgoing = request({ host, port, path: generation ? '/stream/x' : '/again/x', method: 'POST', headers, agent: false }, response => {
      response.resume().once('data', () => resolve(`status ${response.statusCode ?? 0}`)).on('end', () => resolve(`status ${response.statusCode ?? 0}`)).on('error', () => resolve('interrupted'))
    })
    outgoing.on('error', error => resolve(error.message.replace(/ [\d.:]+$/, ''))).end('{"ask":1}')
  })
  counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
  return outcome === 'status 200'
}

interface StartFigures { responsesMs: number, responsesProcessorMs: number, firstMs: number, processor2sMs: number }

/** Sends requests to an entry that has just been started. */
const measureEntry = async (machine: Machine, address: { host: string, port: number }): Promise<StartFigures> => {
  const startedAt = performance.now()
  const pid = machine.process?.pid ?? 0
  const figures: StartFigures = { responsesMs: NaN, responsesProcessorMs: NaN, firstMs: NaN, processor2sMs: NaN }
  let responses = 0
  const sending = (async () => {
    for (let each = 0, at = startedAt; at < startedAt + runMs; each++, at += 1000 / requestsPerSecond) {
      await pause(Math.max(0, at - performance.now()))
      void send(address.host, address.port, each % 2 === 0).then(async served => {
        if (!served) return
        responses += 1
        if (responses === 1) figures.firstMs = performance.now() - startedAt
        if (responses !== countedResponses) return
        figures.responsesMs = performance.now() - startedAt
        figures.responsesProcessorMs = await processorMs(pid)
      })
    }
  })()
  await pause(2000 - (performance.now() - startedAt))
  figures.processor2sMs = await processorMs(pid)
  await sending
  return figures
}

const measureSide = async (machine: Machine): Promise<number> => {
  await pause(1000)
  return await processorMs(machine.process?.pid ?? 0)
}

interface Samples { entries: StartFigures[], sides: number[] }

const runRound = async (fleet: FleetSystem, samples: Samples): Promise<void> => {
  const machines = [...fleet.entries, ...fleet.sides]
  await Promise.all(machines.map(machine => fleet.kill(machine)))
  await Promise.all(machines.map(machine => fleet.startProcess(machine)))
  const endsAt = performance.now() + runMs
  if (share < 1) for (const machine of fleet.entries) void holdToShare(machine, endsAt)
  const [entries, sides] = await Promise.all([
    Promise.all(fleet.entries.map((machine, index) => measureEntry(machine, fleet.callerAddress(index)))),
    Promise.all(fleet.sides.map(measureSide))
  ])
  samples.entries.push(...entries)
  samples.sides.push(...sides)
  await pause(300)
  await Promise.all(machines.map(machine => fleet.kill(machine)))
}

const median = (values: number[]): number => values.filter(Number.isFinite).sort((a, b) => a - b)[Math.floor(values.filter(Number.isFinite).length / 2)] ?? NaN

export const measureProcessorStart = async (): Promise<void> => {
  const [, , , ...args] = process.argv
  const folders = args.length > 0 ? args : [fileURLToPath(new URL('../../..', import.meta.url))]
  const fleets = folders.map((folder, index) => createFleet(folder, firstNetwork + index, layout))
  const samples = folders.map((): Samples => ({ entries: [], sides: [] }))
  try {
    for (const fleet of fleets) {
      await fleet.start()
      await Promise.all([...fleet.entries, ...fleet.sides].map(machine => fleet.kill(machine)))
    }
    for (let round = 0; round < rounds; round++) {
      for (const [index, fleet] of fleets.entries()) await runRound(fleet, samples[index] ?? { entries: [], sides: [] })
    }
  } finally {
    await Promise.all(fleets.map(fleet => fleet.stop()))
  }
  process.stdout.write(`responses: ${JSON.stringify(Object.fromEntries(counts))}\n`)
  const rows = samples.map(({ entries, sides }, index): Row => ({
    'median, ms': basename(resolve(folders[index] ?? '')),
    'to the first response': Math.round(median(entries.map(each => each.firstMs))),
    [`to response ${countedResponses}`]: Math.round(median(entries.map(each => each.responsesMs))),
    'processor time until then': Math.round(median(entries.map(each => each.responsesProcessorMs))),
    'processor time in 2 s': Math.round(median(entries.map(each => each.processor2sMs))),
    'side: in 1 s': Math.round(median(sides)),
    starts: entries.length,
    share: roundSignificant(share)
  }))
  await publishReport({ name: 'processor-start', about: `${requestsPerSecond} requests/s for each of ${layout.domains * layout.entriesPerDomain} entries from their start; ${layout.domains * layout.enginesPerDomain} side processes, ${layout.domains * layout.plainServersPerDomain} plain servers`, rows })
}
