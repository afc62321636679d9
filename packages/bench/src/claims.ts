/**
 * `npm run bench -- claims`: store calls and added latency of a request that may run at most once, for each way.
 */
import { Address, Incarnation, ProcessId, RequestKey, TeamName, randomToken, type Binding } from '@finchpitch/core'
import { Claims, claimId } from '@finchpitch/store'
import { MemoryStore } from '@finchpitch/stand-ins'
import { publish, rounded, type Row } from './report.js'
import { repeat } from './sample.js'

/** A platform that answers in milliseconds. */
const storeMs = 3
const requests = 1000
const entries = 4
const team = TeamName.parse('bench')

const binding = (): Binding => ({
  process: ProcessId.parse('side-1'),
  address: Address.parse('127.0.0.1:1'),
  incarnation: Incarnation.parse('abcdefghijklmnop'),
  epoch: 0,
  nonce: randomToken()
})

interface Way {
  name: string
  /** The claims that request `index` goes through; `undefined` where it needs none. */
  claimsFor: (index: number) => Claims | undefined
}

const ways = (store: MemoryStore): Way[] => {
  const options = { store, random: Math.random, keptMs: 60_000 }
  const grouped = (buckets: number): Claims[] => Array.from({ length: entries }, () => new Claims({ ...options, buckets }))
  const ownObjects = grouped(2 ** 30)
  const many = grouped(256)
  const few = grouped(16)
  return [
    { name: 'an object for each key', claimsFor: index => ownObjects[index % entries] },
    { name: '256 buckets, each request alone', claimsFor: () => new Claims({ ...options, buckets: 256 }) },
    { name: '256 buckets, grouped by entry', claimsFor: index => many[index % entries] },
    { name: '16 buckets, grouped by entry', claimsFor: index => few[index % entries] },
    { name: 'tickets', claimsFor: () => undefined }
  ]
}

const measure = async (wayIndex: number, atOnce: number): Promise<Row> => {
  const store = new MemoryStore()
  store.delayMs = storeMs
  const way = ways(store)[wayIndex]
  if (way === undefined) throw new Error(`there is no way ${wayIndex}`)
  let failed = 0
  const sample = await repeat(requests, atOnce, async index => {
    const claims = way.claimsFor(index)
    if (claims === undefined) return
    const bound = await claims.bind(claimId(team, RequestKey.parse(`key-${index}`)), binding())
    if (bound.isErr()) failed += 1
  })
  const { reads, writes } = store.calls
  return {
    way: way.name,
    'at once': atOnce,
    'reads/request': rounded(reads / requests),
    'writes/request': rounded(writes / requests),
    'p50 ms': rounded(sample.percentile(50)),
    'p99 ms': rounded(sample.percentile(99)),
    failed
  }
}

export const claims = async (): Promise<void> => {
  const rows: Row[] = []
  const { length } = ways(new MemoryStore())
  for (let way = 0; way < length; way++) {
    for (const atOnce of [4, 32, 256]) rows.push(await measure(way, atOnce))
  }
  await publish({ name: 'claims', about: `${requests} keys through ${entries} entries, a store that takes ${storeMs} ms a call`, rows })
}
