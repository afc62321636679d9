/**
 * What of the promises was broken, by what callers got and backend servers saw.
 */
import type { BackendStandIn } from '@finchpitch/stand-ins'
import type { Result } from './caller.js'

export interface SoakReport {
  asked: number
  answered: number
  refused: number
  unknown: number
  cut: number
  /** Promises that were broken, each with the request that shows it. */
  broken: string[]
}

/** Events of a whole stream. */
export const events = 6

const wholeStream = (body: string): boolean => {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
  return ids.length === events && ids.every((id, index) => id === index + 1)
}

export const judge = (results: readonly Result[], servers: readonly BackendStandIn[]): SoakReport => {
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
