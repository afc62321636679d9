/**
 * `npm run bench -- claims`: store calls and added latency of a request that may run at most once, by how claims are spread
 * over store objects and whether one entry's concurrent claims share a write.
 */
import { Address, Incarnation, ProcessId, RequestKey, TeamName, randomToken, type Binding } from '@finchpitch/core'
import { Claims, claimId } from '@finchpitch/store'
import { MemoryStore } from '@finchpitch/stand-ins'
import { publishReport, roundSignificant, type Row } from './report.js'
import { measureRepeated } from './measure.js'

/** Latency of each store call, as of a platform that answers within milliseconds. */
const storeLatencyMs = 3
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

interface Variant {
  name: string
  /** The claims that bind request `index`; `undefined` for a ticket, which needs no claim. */
  claimsFor: (index: number) => Claims | undefined
}

const variants = (store: MemoryStore): Variant[] => {
  const options = { store, random: Math.random, keptMs: 60_000 }
  const claimsPerEntry = (buckets: number): Claims[] => Array.from({ length: entries }, () => new Claims({ ...options, bucketCount: buckets }))
  const objectPerKey = claimsPerEntry(2 ** 30)
  const manyBuckets = claimsPerEntry(256)
  const fewBuckets = claimsPerEntry(16)
  return [
    { name: 'an object for each key', claimsFor: index => objectPerKey[index % entries] },
    { name: '256 buckets, each request alone', claimsFor: () => new Claims({ ...options, bucketCount: 256 }) },
    { name: '256 buckets, grouped by entry', claimsFor: index => manyBuckets[index % entries] },
    { name: '16 buckets, grouped by entry', claimsFor: index => fewBuckets[index % entries] },
    { name: 'tickets', claimsFor: () => undefined }
  ]
}

const measure = async (variantIndex: number, concurrency: number): Promise<Row> => {
  const store = new MemoryStore()
  store.delayMs = storeLatencyMs
  const variant = variants(store)[variantIndex]
  if (variant === undefined) throw new Error(`no variant with index ${variantIndex}`)
  let failed = 0
  const latencies = await measureRepeated(requests, concurrency, async index => {
    const claims = variant.claimsFor(index)
    if (claims === undefined) return
    const bound = await claims.bind(claimId(team, RequestKey.parse(`key-${index}`)), binding())
    if (bound.isErr()) failed += 1
  })
  const { reads, writes } = store.calls
  return {
    way: variant.name,
    'at once': concurrency,
    'reads/request': roundSignificant(reads / requests),
    'writes/request': roundSignificant(writes / requests),
    'p50 ms': roundSignificant(latencies.percentile(50)),
    'p99 ms': roundSignificant(latencies.percentile(99)),
    failed
  }
}

export const measureClaims = async (): Promise<void> => {
  const rows: Row[] = []
  const { length } = variants(new MemoryStore())
  for (let index = 0; index < length; index++) {
    for (const concurrency of [4, 32, 256]) rows.push(await measure(index, concurrency))
  }
  await publishReport({ name: 'claims', about: `${requests} keys through ${entries} entries, a store that takes ${storeLatencyMs} ms a call`, rows })
}
