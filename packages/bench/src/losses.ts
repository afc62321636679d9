/**
 * Where service is lost: a table by route and one by moment, from the entries' lines `request.ended`.
 *
 * Lines may have something before them on the same line, as log collectors put it there; what is no such line is skipped.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import * as z from 'zod'
import type { Row } from './report.js'

export const EndedLine = z.object({
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
export type EndedLine = z.infer<typeof EndedLine>

/** A part of the objective spent on one thing makes that the cause of being late. */
const mainShare = 0.5
const momentMs = 5000

const lateCause = ({ objectiveMs = Infinity, firstTriedMs, waitedMs, sentAtMs = 0, firstByteMs = 0 }: EndedLine): string => {
  if (firstTriedMs + firstByteMs <= objectiveMs) return 'in time'
  if (firstTriedMs > objectiveMs * mainShare) return 'late: came back'
  if (waitedMs > objectiveMs * mainShare) return 'late: waited for an adapter or a place'
  if (firstByteMs - sentAtMs > objectiveMs * mainShare) return 'late: at the server'
  return 'late: several'
}

/** By the first word of the outcome. */
const causes: Record<string, (line: EndedLine) => string> = {
  streamed: lateCause,
  answered: line => line.outcome.startsWith('answered 2') ? lateCause(line) : `${line.outcome} by the server`,
  refused: line => `refused: ${line.reason}`,
  failed: line => `failed: ${line.reason}`,
  caller_left: line => line.sentAtMs === undefined ? 'left while waiting' : 'left while at the server'
}

export const causeOf = (line: EndedLine): string => {
  const [kind = ''] = line.outcome.split(' ')
  return causes[kind]?.(line) ?? line.outcome
}

/** The line as an entry wrote it, if it is the end of a request. */
export const parseEnded = (text: string): EndedLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0 || !text.includes('"request.ended"')) return undefined
  try {
    return EndedLine.safeParse(JSON.parse(text.slice(start))).data
  } catch {
    return undefined
  }
}

export interface Losses {
  /** For each route its causes, the most frequent first. */
  byRoute: Row[]
  byMoment: Row[]
}

/** What a caller got, in one word. */
const fateOf = (cause: string): string => cause === 'in time' ? 'in time' : cause.startsWith('late') ? 'late' : 'not served'

const counted = (names: readonly string[]): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

/** The causes of all lines of one name, by name. */
const groups = (lines: readonly EndedLine[], nameOf: (line: EndedLine) => string): Array<[name: string, causes: string[]]> => {
  const all = new Map<string, string[]>()
  for (const line of lines) {
    const name = nameOf(line)
    const causes = all.get(name) ?? []
    causes.push(causeOf(line))
    all.set(name, causes)
  }
  return [...all].sort(([a], [b]) => a < b ? -1 : 1)
}

const momentOf = ({ at }: EndedLine): string => new Date(Math.floor(Date.parse(at) / momentMs) * momentMs).toISOString()

export const lossesOf = (lines: readonly EndedLine[]): Losses => ({
  byRoute: groups(lines, line => line.route ?? 'no route').flatMap(([route, causes]) =>
    [...counted(causes)].sort(([, a], [, b]) => b - a).map(([cause, requests]) => ({ route, cause, requests }))),
  byMoment: groups(lines, momentOf).map(([moment, causes]) => {
    const fates = counted(causes.map(fateOf))
    return { moment, 'in time': fates.get('in time') ?? 0, late: fates.get('late') ?? 0, 'not served': fates.get('not served') ?? 0 }
  })
})

export const readLosses = async (path: string): Promise<Losses> => {
  const ended: EndedLine[] = []
  for await (const text of createInterface({ input: createReadStream(path) })) {
    const line = parseEnded(text)
    if (line !== undefined) ended.push(line)
  }
  return lossesOf(ended)
}
