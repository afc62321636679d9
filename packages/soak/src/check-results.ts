/**
 * Checks the system's guarantees against the responses to callers and the requests and orders that reached the backend servers.
 */
import type { BackendStandIn } from '@finchpitch/stand-ins'
import type { RequestResult } from './caller.js'

export interface SoakReport {
  /** Number of requests sent. */
  asked: number
  /** Complete responses with status 200. */
  answered: number
  /** Responses with status 503: the request has not run. */
  refused: number
  /** Responses with status 502 or 504: the request may have run. */
  unknown: number
  /** Requests without a complete response. */
  cut: number
  /** Number of requests of the flooding team that were rejected with status 429. */
  overQuota: number
  /** The most that this team used in any window, as a share of what its quota allows. */
  quotaShare: number
  /** Number of callers and servers that did not read and were cut off. */
  stalledPeers: number
  /** Streams that callers took up again, and those of them that went on. */
  resumed: { takenUp: number, wentOn: number }
  /** Requests that were sent after the order to stop in a planned stop without faults, and those of them that reached a server. */
  plannedStop: { sent: number, reached: number }
  /** Number of processes that were started. */
  starts: number
  /** Processes that a signal of the soak ended before the program could handle it. */
  endedEarly: number
  /** Peak of the resident memory of a process of each role, in MB. */
  peakMb: { entry: number, side: number }
  /** Violations of the guarantees, each with the request or server that shows it. */
  broken: string[]
  /** Log lines that help to explain the violations. */
  details: string[]
}

/** Number of events in a complete stream. */
export const eventsPerStream = 6

const isCompleteStream = (body: string): boolean => {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
  return ids.length === eventsPerStream && ids.every((id, index) => id === index + 1)
}

/** Responses with these statuses promise that the request has not run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Returns the violations of the guarantees on single requests that hold at any time, also during faults. */
export const checkResponses = (results: readonly RequestResult[], servers: readonly BackendStandIn[]): string[] => {
  const runs = new Map<string, number>()
  for (const server of servers) for (const id of server.startedIds) runs.set(id, (runs.get(id) ?? 0) + 1)
  const broken: string[] = []
  for (const { id, path, status, body, whole } of results) {
    const ran = runs.get(id) ?? 0
    const runsAtMostOnce = path === '/once/x' || path === '/stream/x'
    if (runsAtMostOnce && ran > 1) broken.push(`${id} ${path} ran ${ran} times`)
    if (runsAtMostOnce && notRunStatuses.has(status) && ran > 0) broken.push(`${id} ${path} was answered with ${status}, as not run, but ran`)
    if (status === 200 && whole && (path === '/once/x' || path === '/again/x') && !body.includes(id)) broken.push(`${id} ${path} got the response to another request: ${body}`)
    if (status === 200 && whole && path.startsWith('/stream') && !isCompleteStream(body)) broken.push(`${id} ${path} was answered with a stream that ended normally, but is incomplete`)
    if (status === 200 && whole && path.startsWith('/resume') && !isCompleteStream(body)) broken.push(`${id} ${path} was answered with a resumed stream that lacks or repeats events`)
    if (status === 404) broken.push(`${id} ${path} was answered with 404, but its route exists`)
  }
  return broken
}

/** Checks the guarantees that hold at any time, also during faults. */
export const checkResults = (results: readonly RequestResult[], servers: readonly BackendStandIn[]): SoakReport => {
  const broken = checkResponses(results, servers)
  for (const server of servers) {
    if (server.slotsExceeded) broken.push(`${server.id} was ordered to load more adapters than it has slots`)
    const fences = server.orders.map(order => order.fence)
    if (fences.some((fence, index) => index > 0 && fence < (fences[index - 1] ?? 0))) broken.push(`${server.id} received an order with a lower fence than an earlier order`)
    if (new Set(server.orders.map(order => order.holder)).size > 1) broken.push(`${server.id} received orders from more than one machine`)
  }
  const count = (matches: (result: RequestResult) => boolean): number => results.filter(matches).length
  return {
    asked: results.length,
    answered: count(result => result.status === 200 && result.whole),
    refused: count(result => result.status === 503),
    unknown: count(result => result.status === 502 || result.status === 504),
    cut: count(result => !result.whole),
    overQuota: 0,
    quotaShare: 0,
    stalledPeers: 0,
    resumed: { takenUp: 0, wentOn: 0 },
    plannedStop: { sent: 0, reached: 0 },
    starts: 0,
    endedEarly: 0,
    peakMb: { entry: 0, side: 0 },
    broken,
    details: []
  }
}
