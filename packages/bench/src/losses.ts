/**
 * `npm run bench -- losses FILE`: why requests were late or not served, from the `request.ended` events in the log of an entry.
 *
 * One table counts causes by route, the other counts results in intervals of five seconds. Log collectors prefix lines with
 * their own fields, so a line is parsed from its first brace on; other lines are skipped.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import * as z from 'zod'
import type { Row } from './report.js'

export const RequestEndedLine = z.object({
  event: z.literal('request.ended'),
  at: z.iso.datetime(),
  route: z.string().optional(),
  objectiveMs: z.number().optional(),
  reason: z.string(),
  outcome: z.string(),
  firstTriedMs: z.number().default(0),
  waitedMs: z.number(),
  sentAtMs: z.number().optional(),
  firstByteMs: z.number().optional()
})
export type RequestEndedLine = z.infer<typeof RequestEndedLine>

/** A stage that takes more than this share of the latency objective is the cause of lateness. */
const dominantShare = 0.5
const intervalMs = 5000

const latenessCause = ({ objectiveMs = Infinity, firstTriedMs, waitedMs, sentAtMs = 0, firstByteMs = 0 }: RequestEndedLine): string => {
  if (firstTriedMs + firstByteMs <= objectiveMs) return 'in time'
  if (firstTriedMs > objectiveMs * dominantShare) return 'late: came back'
  if (waitedMs > objectiveMs * dominantShare) return 'late: waited for an adapter or a place'
  if (firstByteMs - sentAtMs > objectiveMs * dominantShare) return 'late: at the server'
  return 'late: several'
}

/** The cause of a request by the first word of its outcome. */
const causes: Record<string, (line: RequestEndedLine) => string> = {
  streamed: latenessCause,
  answered: line => line.outcome.startsWith('answered 2') ? latenessCause(line) : `${line.outcome} by the server`,
  refused: line => `refused: ${line.reason}`,
  failed: line => `failed: ${line.reason}`,
  caller_left: line => line.sentAtMs === undefined ? 'left while waiting' : 'left while at the server'
}

export const causeOf = (line: RequestEndedLine): string => {
  const [kind = ''] = line.outcome.split(' ')
  return causes[kind]?.(line) ?? line.outcome
}

/** The event on a line of a log; `undefined` if the line is not a valid `request.ended` event. */
export const parseRequestEnded = (text: string): RequestEndedLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0 || !text.includes('"request.ended"')) return undefined
  try {
    return RequestEndedLine.safeParse(JSON.parse(text.slice(start))).data
  } catch {
    return undefined
  }
}

export interface Losses {
  /** A row for each route and cause, the most frequent cause of a route first. */
  byRoute: Row[]
  /** A row for each interval, with the requests that ended in it by result. */
  byInterval: Row[]
}

/** What the caller got: an answer in time, a late one, or none. */
const resultOf = (cause: string): string => cause === 'in time' ? 'in time' : cause.startsWith('late') ? 'late' : 'not served'

const countByName = (names: readonly string[]): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

/** The causes of the lines of each group, sorted by the name of the group. */
const causesByGroup = (lines: readonly RequestEndedLine[], groupOf: (line: RequestEndedLine) => string): Array<[name: string, causes: string[]]> => {
  const byName = new Map<string, string[]>()
  for (const line of lines) {
    const name = groupOf(line)
    const causes = byName.get(name) ?? []
    causes.push(causeOf(line))
    byName.set(name, causes)
  }
  return [...byName].sort(([a], [b]) => a < b ? -1 : 1)
}

const intervalStart = ({ at }: RequestEndedLine): string => new Date(Math.floor(Date.parse(at) / intervalMs) * intervalMs).toISOString()

export const summarizeLosses = (lines: readonly RequestEndedLine[]): Losses => ({
  byRoute: causesByGroup(lines, line => line.route ?? 'no route').flatMap(([route, causes]) =>
    [...countByName(causes)].sort(([, a], [, b]) => b - a).map(([cause, requests]) => ({ route, cause, requests }))),
  byInterval: causesByGroup(lines, intervalStart).map(([moment, causes]) => {
    const results = countByName(causes.map(resultOf))
    return { moment, 'in time': results.get('in time') ?? 0, late: results.get('late') ?? 0, 'not served': results.get('not served') ?? 0 }
  })
})

export const readLosses = async (path: string): Promise<Losses> => {
  const lines: RequestEndedLine[] = []
  for await (const text of createInterface({ input: createReadStream(path) })) {
    const line = parseRequestEnded(text)
    if (line !== undefined) lines.push(line)
  }
  return summarizeLosses(lines)
}
