/**
 * `npm run bench -- processor-overload [--cpu-prof] [FOLDER...]`: processor time of entries and side processes before, during and after
 * a flood: one team sends several times its usual load, half of it plain requests, while the others go on as before.
 *
 * Each folder is a checkout that has been built; the default is this one. The fleets of all folders run side by side, and every first
 * attempt goes to all of them at once. A rejected caller returns once, as it is told or after a third of its time, at another entry.
 * With `--cpu-prof`, each process writes a profile of its whole life to `target/profiles` of its folder.
 */
import { basename, resolve } from 'node:path'
import { pause } from '@finchpitch/core'
import type { FleetSystem, Machine } from '@finchpitch/stand-ins'
import { call, cpuMs, createFleet, foldersOf, sendAtRate, startFleet, type CallEnd } from './processor.js'
import { publishReport, roundSignificant, type Row } from './report.js'

const firstNetwork = 190
const layout = { entriesPerDomain: 6, enginesPerDomain: 8, plainServersPerDomain: 4, plainSlots: 1, adapterSlots: 8, workMs: 60 }
const adapters = 100
const teams = 6
/** Usual requests per second of each team. */
const usual = { generations: 10, plain: 5 }
const floodFactor = 6.5
const quotaFactor = 1.8
const tokens = { generation: [650, 72], plain: [100, 100] }
const timeoutMs = { generation: 5000, plain: 1000 }
const onceShare = 0.8
const phaseMs = { before: 10_000, flood: 8000, after: 6000 }
type Phase = keyof typeof phaseMs
type Kind = keyof typeof tokens

const tokensPerS = usual.generations * 722 + usual.plain * 200
const floodRate = floodFactor * (usual.generations + usual.plain) / 2

/** What a caller asks for, the same at each fleet. */
interface Question { kind: Kind, team: number, entry: number, path: string, adapter: string }

interface Figures { arrived: number, outcomes: Map<string, number>, cpu: Record<'entry' | 'side', number>, lines: Record<'entry' | 'side', number> }

/** A fleet under load, with the figures of each phase. */
interface Subject { name: string, fleet: FleetSystem, arrived: number, figures: Map<Phase, Figures> }

let phase: Phase = 'before'
let sent = 0

const figuresOf = ({ figures }: Subject): Figures => {
  const known = figures.get(phase) ?? { arrived: 0, outcomes: new Map(), cpu: { entry: 0, side: 0 }, lines: { entry: 0, side: 0 } }
  figures.set(phase, known)
  return known
}

const attempt = async (subject: Subject, question: Question, entry: number, remainingMs: number): Promise<CallEnd> => {
  const { kind, team, path, adapter } = question
  sent += 1
  subject.arrived += 1
  const headers = {
    host: 'fleet.example',
    'request-id': `o${sent}`,
    'deadline-ms': String(Math.round(remainingMs)),
    'token-usage': tokens[kind].join(','),
    authorization: `Token k${team}`,
    ...(kind === 'generation' ? { model: adapter } : {})
  }
  return await call({ ...subject.fleet.callerAddress(entry), path, headers, agent: false })
}

/** Sends a request and, if it is rejected, once more on a new connection. The outcome counts for the phase of the first attempt. */
const ask = async (subject: Subject, question: Question): Promise<void> => {
  const { outcomes } = figuresOf(subject)
  const givesUpAt = performance.now() + timeoutMs[question.kind]
  let end = await attempt(subject, question, question.entry, timeoutMs[question.kind])
  if (end.retryAfterMs !== undefined) {
    await pause(Math.min(end.retryAfterMs, (givesUpAt - performance.now()) / 3))
    const other = (question.entry + 1 + Math.floor(Math.random() * (layout.entriesPerDomain - 1))) % layout.entriesPerDomain
    end = await attempt(subject, question, other, givesUpAt - performance.now())
  }
  outcomes.set(end.outcome, (outcomes.get(end.outcome) ?? 0) + 1)
}

const questionOf = (kind: Kind, team: number): Question => ({
  kind,
  team,
  entry: Math.floor(Math.random() * layout.entriesPerDomain),
  path: kind === 'generation' ? '/stream/x' : Math.random() < onceShare ? '/once/x' : '/again/x',
  // Squared, so that some adapters are far more popular than others.
  adapter: `base/a${Math.floor(Math.random() ** 2 * adapters)}`
})

const send = async (subjects: Subject[], kind: Kind, team: number): Promise<void> => {
  const question = questionOf(kind, team)
  await Promise.all(subjects.map(subject => ask(subject, question)))
}

const machinesOf = ({ fleet }: Subject): Record<'entry' | 'side', Machine[]> => ({ entry: fleet.entries, side: fleet.sides })

/** Adds the arrivals so far, and the processor time and log lines of all processes, times `sign`, to the figures of the phase. */
const addTotals = async (subject: Subject, sign: 1 | -1): Promise<void> => {
  const figures = figuresOf(subject)
  const { cpu, lines } = figures
  figures.arrived += sign * subject.arrived
  for (const [role, machines] of Object.entries(machinesOf(subject)) as Array<['entry' | 'side', Machine[]]>) {
    cpu[role] += sign * machines.length * await cpuMs(machines.map(machine => machine.process?.pid))
    lines[role] += sign * machines.reduce((sum, machine) => sum + machine.output.length, 0)
  }
}

const runPhase = async (subjects: Subject[], running: Array<Promise<void>>): Promise<void> => {
  await Promise.all(subjects.map(subject => addTotals(subject, -1)))
  const endsAt = performance.now() + phaseMs[phase]
  for (let team = 0; team < teams; team++) {
    const isFlooding = phase === 'flood' && team === 0
    const { generations, plain } = isFlooding ? { generations: floodRate, plain: floodRate } : usual
    running.push(sendAtRate(generations, endsAt, () => send(subjects, 'generation', team)), sendAtRate(plain, endsAt, () => send(subjects, 'plain', team)))
  }
  await pause(endsAt - performance.now())
  await Promise.all(subjects.map(subject => addTotals(subject, 1)))
}

const rowsOf = (subject: Subject): Row[] => (['entry', 'side'] as const).flatMap(role => [...subject.figures].map(([name, { arrived, cpu, lines, outcomes }]): Row => {
  const processes = machinesOf(subject)[role].length
  const asked = [...outcomes.values()].reduce((sum, count) => sum + count, 0)
  return {
    processes: `${subject.name} ${role}`,
    phase: name,
    'arrived/s': Math.round(arrived * 1000 / phaseMs[name]),
    'callers served': roundSignificant((outcomes.get('status 200') ?? 0) / asked),
    'ms per arrived request, all processes': roundSignificant(cpu[role] / arrived),
    '% of a core, each': roundSignificant(cpu[role] * 100 / phaseMs[name] / processes),
    'log lines/s, all': roundSignificant(lines[role] * 1000 / phaseMs[name])
  }
}))

export const measureProcessorOverload = async (): Promise<void> => {
  const args = process.argv.slice(3)
  const profiles = args.includes('--cpu-prof')
  const subjects = await Promise.all(foldersOf(args.filter(arg => arg !== '--cpu-prof')).map(async (folder, index): Promise<Subject> => {
    const flags = profiles ? ['--cpu-prof', `--cpu-prof-dir=${resolve(folder, 'target/profiles')}`] : []
    return { name: basename(resolve(folder)), fleet: createFleet(folder, firstNetwork + index, layout, flags), arrived: 0, figures: new Map() }
  }))
  const idle = performance.eventLoopUtilization()
  try {
    await Promise.all(subjects.map(({ fleet }) => startFleet(fleet, teams, quotaFactor * tokensPerS)))
    await pause(1000)
    const running: Array<Promise<void>> = []
    for (phase of Object.keys(phaseMs) as Phase[]) await runPhase(subjects, running)
    await Promise.all(running)
  } finally {
    // A process writes its profile only if it ends by itself.
    if (profiles) await Promise.all(subjects.flatMap(({ fleet }) => [...fleet.entries, ...fleet.sides].map(machine => fleet.kill(machine, 'SIGTERM'))))
    await Promise.all(subjects.map(({ fleet }) => fleet.stop()))
  }
  for (const { name, figures } of subjects) {
    for (const [of, { outcomes }] of figures) process.stdout.write(`${name} ${of}: ${JSON.stringify(Object.fromEntries(outcomes))}\n`)
  }
  const load = Math.round(performance.eventLoopUtilization(idle).utilization * 100)
  const about = `${teams} teams of ${usual.generations} generations/s and ${usual.plain} plain requests/s, one of which sends ${floodFactor} times as much in the flood; ${layout.entriesPerDomain} entries, ${layout.enginesPerDomain} side processes, ${layout.plainServersPerDomain} plain servers of ${layout.plainSlots} slot; user and system; the callers and servers took ${load}% of their core`
  await publishReport({ name: 'processor-overload', about, rows: subjects.flatMap(rowsOf) })
}
