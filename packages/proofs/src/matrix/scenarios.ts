/**
 * The scenarios of the matrix: the load that runs when a fault is injected, and the checks of the guarantees afterwards.
 *
 * The checks use what the callers received, what the backend servers and the store recorded, which side process sent which
 * request to its backend server, and the configuration revisions that the processes hold. They call no interface of the system
 * under test, so a fault in its own reports can't hide a violation.
 */
import { baseLabel } from '@finchpitch/stand-ins'
import type { Cluster, Layout, AttemptResult } from './cluster.js'
import type { Fault } from './faults.js'
import type { Step } from './process-gate.js'

/** The guarantees to callers, teams and operators, and that the system recovers. */
export const guarantees = {
  V: 'only the adapter and version that the team named',
  U: 'no adapter unloaded while it serves a request',
  W: 'the complete answer, and no other',
  N: 'a request answered "not run" did not run',
  O: 'a request runs at most once',
  R: 'requests are served again after the fault',
  L: 'no new requests to a draining backend server',
  S: 'draining interrupts no request',
  C: 'accepted configuration comes into force and is never reverted'
} as const
export type GuaranteeLetter = keyof typeof guarantees

export interface Violation {
  guarantee: GuaranteeLetter
  detail: string
}

export interface Scenario {
  layout: Layout
  steps: readonly Step[]
  /** The guarantees that are checked in this scenario. */
  checks: readonly GuaranteeLetter[]
  run: (cluster: Cluster, fault: Fault) => Promise<ScenarioResult>
}

export interface ScenarioResult {
  violations: Violation[]
  /** What the last caller got, after the fault was removed. */
  lastOutcome: AttemptResult['outcome']
}

const faultMs = 4000
const settleMs = 40_000

interface ObservedRequest {
  label: string
  attempts: AttemptResult[]
  /** Whether a text is the complete answer to this request and to no other. */
  isComplete: (text: string) => boolean
}

const checkAtMostOnce = (cluster: Cluster, { label, attempts, isComplete }: ObservedRequest): Violation[] => {
  const violations: Violation[] = []
  const runs = cluster.executionCount(label)
  if (runs > 1) violations.push({ guarantee: 'O', detail: `${label} ran ${runs} times` })
  const texts = new Set(attempts.filter(each => each.outcome === 'ran').map(each => each.text))
  if (texts.size > 1) violations.push({ guarantee: 'W', detail: `${label} had ${texts.size} answers` })
  violations.push(...checkAnswers({ label, attempts, isComplete }))
  if (attempts.every(each => each.outcome === 'not_run') && runs > 0) violations.push({ guarantee: 'N', detail: `${label} ran, and every attempt was answered "not run"` })
  return violations
}

const checkAnswers = ({ label, attempts, isComplete }: ObservedRequest): Violation[] => attempts.flatMap((each): Violation[] => {
  if (each.outcome === 'not_run' && each.runsWhenAnswered > 0) return [{ guarantee: 'N', detail: `${label} had run when the caller was answered "not run" (${each.code})` }]
  if (each.outcome === 'ran' && !isComplete(each.text)) return [{ guarantee: 'W', detail: `${label} got "${each.text.slice(0, 80)}"` }]
  return []
})

const checkEngines = (cluster: Cluster, labels: Map<string, string>): Violation[] => cluster.engines.flatMap(engine => [
  ...engine.violations.map((detail): Violation => ({ guarantee: 'U', detail })),
  ...engine.runs
    // Some engines run the base model in place of an adapter that they don't have. This can't be prevented, so such a run is
    // no violation here; `checkAnswers` reports one that reaches a caller.
    .filter(run => run.label !== baseLabel && labels.has(run.prompt) && !run.label.startsWith(`${labels.get(run.prompt) ?? ''}#`))
    .map((run): Violation => ({ guarantee: 'V', detail: `${run.prompt} ran on ${run.label}` }))
])

const isCompleteStream = (label: string) => (text: string): boolean =>
  text.includes('[DONE]') && [0, 1, 2, 3, 4, 5, 6, 7].every(token => new RegExp(`${label}#\\d+:${token} `).test(text))

const isCompleteGeneration = (label: string) => (text: string): boolean =>
  text.endsWith('}]}') && new RegExp(`${label}#\\d+:7 `).test(text)

const isCompleteBooking = (label: string) => (text: string): boolean => text.includes(`"booked":"${label}"`) && text.endsWith('}')

/**
 * Sends one request three times: through the first entry, through the second one a second later while the fault may be active,
 * and through the second one again after the fault was removed and the cluster has had time to recover.
 */
const sendThreeAttempts = async (cluster: Cluster, fault: Fault, send: (index: number) => Promise<AttemptResult>): Promise<AttemptResult[]> => {
  const first = send(0)
  await cluster.time.advance(1000)
  const second = send(1)
  await cluster.time.advance(faultMs)
  cluster.injectPendingFault()
  await cluster.time.advance(faultMs)
  await cluster.time.runUntilSettled(fault.end(cluster))
  await cluster.time.advance(settleMs)
  const third = send(1)
  await cluster.time.advance(settleMs)
  return await Promise.all([first, second, third].map(attempt => currentAnswer(cluster, attempt)))
}

/** The answer that a caller has got so far; the caller of a killed process gets none. */
const currentAnswer = async (cluster: Cluster, attempt: Promise<AttemptResult>): Promise<AttemptResult> => {
  const nothing: AttemptResult = { outcome: 'nothing', code: 'none', text: '', runsWhenAnswered: 0 }
  await cluster.time.settle()
  return await Promise.race([attempt, cluster.time.settle(1).then(() => nothing)])
}

const outcomeOfLast = (attempts: AttemptResult[]): AttemptResult['outcome'] => attempts.at(-1)?.outcome ?? 'nothing'

const runBooking = async (cluster: Cluster, fault: Fault, key: string): Promise<ScenarioResult> => {
  const label = 'ingrid at 14:30'
  const attempts = await sendThreeAttempts(cluster, fault, async index => await cluster.sendRequest(index, cluster.bookingRequest(key, label, false), label))
  return { violations: checkAtMostOnce(cluster, { label, attempts, isComplete: isCompleteBooking(label) }), lastOutcome: outcomeOfLast(attempts) }
}

const twoServices = { services: 2, engines: 0, slots: 0 }
const twoEngines = { services: 0, engines: 2, slots: 2 }

const requestTicket = async (cluster: Cluster): Promise<string> => {
  const request = cluster.bookingRequest(undefined, 'x')
  return (await cluster.time.runUntilSettled(cluster.entry(1).entry.ticket(request)))._unsafeUnwrap()
}

const concurrentStreams = async (cluster: Cluster, fault: Fault): Promise<ScenarioResult> => {
  const adapters = ['statement', 'letter', 'reminder']
  const labels = new Map(adapters.map(adapter => [`prompt of ${adapter}`, `quetzal/${adapter}@v2`]))
  const send = (index: number, adapter: string): Promise<AttemptResult> => cluster.sendRequest(index, cluster.statementRequest(adapter, `prompt of ${adapter}`), `prompt of ${adapter}`)
  const requests = adapters.map(adapter => ({ adapter, attempts: [send(0, adapter)] }))
  await cluster.time.advance(150)
  for (const { adapter, attempts } of requests) attempts.push(send(1, adapter))
  await cluster.time.advance(faultMs)
  cluster.injectPendingFault()
  await cluster.time.advance(faultMs)
  await cluster.time.runUntilSettled(fault.end(cluster))
  await cluster.time.advance(settleMs)
  for (const { adapter, attempts } of requests) attempts.push(send(1, adapter))
  await cluster.time.advance(settleMs)
  const violations = checkEngines(cluster, labels)
  let last: AttemptResult['outcome'] = 'ran'
  for (const { adapter, attempts } of requests) {
    const answers = await Promise.all(attempts.map(each => currentAnswer(cluster, each)))
    const label = `prompt of ${adapter}`
    violations.push(...checkAnswers({ label, attempts: answers.map(each => ({ ...each, runsWhenAnswered: 0 })), isComplete: isCompleteStream(`quetzal/${adapter}@v2`) }))
    if (outcomeOfLast(answers) !== 'ran') last = outcomeOfLast(answers)
    if (outcomeOfLast(answers) !== 'ran' && fault.permanent !== true) violations.push({ guarantee: 'R', detail: `${label} was answered ${outcomeOfLast(answers)} (${answers.at(-1)?.code ?? ''})` })
  }
  return { violations, lastOutcome: last }
}

const propagationLimitMs = 5000

const checkRevisions = (cluster: Cluster, expectedRevision: number, deadline: number): Violation[] => {
  const alive = cluster.members.filter(({ gate }) => !gate.killed)
  const behind = alive.filter(({ catalog }) => catalog.revision < expectedRevision)
  const late = cluster.revisionChanges.filter(({ revision, at }) => revision === expectedRevision && at > deadline)
  const reverted = cluster.revisionChanges.filter((change, index) => cluster.revisionChanges.slice(0, index).some(earlier => earlier.process === change.process && earlier.revision >= change.revision))
  return [
    ...behind.map(({ instance, catalog }): Violation => ({ guarantee: 'C', detail: `${instance.process} is at revision ${catalog.revision}, not ${expectedRevision}` })),
    ...late.map(({ process, at }): Violation => ({ guarantee: 'C', detail: `${process} applied revision ${expectedRevision} ${at - deadline} ms late` })),
    ...reverted.map(({ process, revision }): Violation => ({ guarantee: 'C', detail: `${process} reverted to revision ${revision}` }))
  ]
}

/**
 * Two operators apply different configurations to the same revision at once. The highest accepted revision must be in force at
 * all live processes within `propagationLimitMs` of the end of the fault, no process may go back to an earlier one, and no more
 * operators may be answered "applied" than changes were accepted.
 */
const raceOperators = async (cluster: Cluster, fault: Fault): Promise<ScenarioResult> => {
  const pendingReplies = ['ana', 'bo'].map((note, index) => cluster.apply(index, note, 1).catch(() => 'nothing'))
  await cluster.time.advance(faultMs)
  cluster.injectPendingFault()
  await cluster.time.advance(faultMs)
  await cluster.time.runUntilSettled(fault.end(cluster))
  const deadline = Date.now() + propagationLimitMs
  await cluster.time.advance(settleMs)
  const replies = await Promise.all(pendingReplies.map(each => Promise.race([each, cluster.time.settle().then(() => 'nothing')])))
  const headWrites = cluster.store.writes.filter(({ name }) => name === 'config/head')
  const accepted = Math.max(...headWrites.map(({ value }) => (value as { revision: number }).revision))
  const violations = checkRevisions(cluster, accepted, deadline)
  const applied = replies.filter(reply => reply === 'applied').length
  if (applied > headWrites.length - 1) violations.push({ guarantee: 'C', detail: `${applied} operators were answered "applied", but ${headWrites.length - 1} changes were accepted` })
  return { violations, lastOutcome: accepted > 1 ? 'ran' : 'not_run' }
}

/** Time for the entries to learn that the side process is draining, before new requests are sent. */
const drainNoticeMs = 3000

/** A side process drains while requests run, and the fault is injected as well. */
const drainSide = async (cluster: Cluster, fault: Fault): Promise<ScenarioResult> => {
  for (const service of cluster.services) service.delayMs = 2000
  const early = ['a', 'b', 'c'].map(label => ({ label, attempt: cluster.sendRequest(0, cluster.bookingRequest(`key-${label}`, label), label) }))
  await cluster.time.advance(500)
  const drainingSide = cluster.activeSide
  const running = early.filter(({ label }) => cluster.executionCount(label) > 0)
  cluster.instanceListFrozen = true
  drainingSide.side.startDraining()
  await cluster.time.advance(drainNoticeMs)
  const late = ['d', 'e', 'f'].map(label => ({ label, attempt: cluster.sendRequest(1, cluster.bookingRequest(`key-${label}`, label), label) }))
  await cluster.time.advance(faultMs)
  cluster.injectPendingFault()
  await cluster.time.advance(faultMs)
  await cluster.time.runUntilSettled(fault.end(cluster))
  await cluster.time.advance(settleMs)
  const violations: Violation[] = []
  for (const { process, label } of cluster.executions) {
    const isNewRequest = process === drainingSide.instance.process && late.some(each => each.label === label)
    if (isNewRequest) violations.push({ guarantee: 'L', detail: `${label ?? ''} was sent after draining began and ran at the draining process` })
  }
  let last: AttemptResult['outcome'] = 'ran'
  for (const { label, attempt } of [...early, ...late]) {
    const answer = await currentAnswer(cluster, attempt)
    violations.push(...checkAtMostOnce(cluster, { label, attempts: [answer], isComplete: isCompleteBooking(label) }))
    last = answer.outcome
  }
  const ends = fault.nonDisruptive === true ? await Promise.all(running.map(each => currentAnswer(cluster, each.attempt))) : []
  const interrupted = ends.filter(each => each.outcome !== 'ran')
  violations.push(...interrupted.map((each): Violation => ({ guarantee: 'S', detail: `a request in progress ended with ${each.outcome} (${each.code})` })))
  return { violations, lastOutcome: last }
}

export const scenarios = {
  'booking with a key': {
    layout: twoServices,
    steps: ['claim', 'claimed', 'frame.run', 'execute', 'executed', 'frame.head', 'frame.chunk', 'frame.end'],
    checks: ['O', 'N', 'W'],
    run: async (cluster, fault) => await runBooking(cluster, fault, 'booking-1')
  },
  'booking with a ticket': {
    layout: twoServices,
    steps: ['frame.run', 'execute', 'executed', 'frame.head', 'frame.chunk', 'frame.end'],
    checks: ['O', 'N', 'W'],
    run: async (cluster, fault) => await runBooking(cluster, fault, await requestTicket(cluster))
  },
  'statement with a key': {
    layout: twoEngines,
    steps: ['claim', 'claimed', 'frame.run', 'load', 'loaded', 'execute', 'executed', 'frame.chunk', 'frame.end'],
    checks: ['O', 'N', 'W', 'V', 'U'],
    run: async (cluster, fault) => {
      const label = 'statement of member 7'
      const attempts = await sendThreeAttempts(cluster, fault, async index => await cluster.sendRequest(index, cluster.statementRequest('statement', label, 'statement-7'), label))
      const violations = checkAtMostOnce(cluster, { label, attempts, isComplete: isCompleteGeneration('quetzal/statement@v2') })
      return { violations: [...violations, ...checkEngines(cluster, new Map([[label, 'quetzal/statement@v2']]))], lastOutcome: outcomeOfLast(attempts) }
    }
  },
  'streams over few slots': {
    layout: { services: 0, engines: 1, slots: 1 },
    steps: ['load', 'loaded', 'unload', 'execute', 'executed', 'frame.run', 'frame.head', 'frame.chunk', 'frame.end'],
    checks: ['W', 'V', 'U', 'R'],
    run: concurrentStreams
  },
  'operators race': {
    layout: { services: 1, engines: 1, slots: 2 },
    steps: ['shard', 'head.write', 'head.written'],
    checks: ['C'],
    run: raceOperators
  },
  'a side leaves': {
    layout: twoServices,
    steps: ['frame.run', 'claimed', 'execute', 'executed', 'frame.end'],
    checks: ['L', 'S', 'O', 'N', 'W'],
    run: drainSide
  }
} satisfies Record<string, Scenario>

export type ScenarioName = keyof typeof scenarios
export const scenarioNames = Object.keys(scenarios) as ScenarioName[]
