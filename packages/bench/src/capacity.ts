/**
 * `npm run bench -- capacity`: how state size, traffic, CPU time and memory grow with the number of adapters, side processes
 * and uplinks.
 */
import { Revision, validateConfiguration } from '@finchpitch/core'
import { hashCandidates, rankHashedCandidates } from '@finchpitch/decisions'
import { Catalog, splitIntoShards, type Head } from '@finchpitch/store'
import { encodeFrame } from '@finchpitch/wire'
import { publishReport, roundSignificant, type Row } from './report.js'
import { BenchCluster, benchConfiguration } from './bench-cluster.js'
import { readProcessUsage } from './measure.js'

const heartbeatsPerSecond = 0.5
const idleMs = 12_000
const lookupCount = 20_000

const buildHead = (shards: ReturnType<typeof splitIntoShards>, revision: number): Head => ({
  revision: Revision.parse(revision),
  recent: [{ revision: Revision.parse(revision), applyId: 'abcdefghijklmnop', actor: 'bench', at: 0, note: '' }],
  common: shards.common,
  adapters: shards.adapters
})

const heapBytes = (): number => {
  globalThis.gc?.()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

const measureMs = (task: () => void): number => {
  const startedAt = performance.now()
  task()
  return performance.now() - startedAt
}

/** Cost of the number of configured adapters: size of the catalog, bytes read per change, time of a look-up. */
const adaptersRow = (count: number): Row => {
  const configuration = validateConfiguration(benchConfiguration(count))._unsafeUnwrap()
  const shards = splitIntoShards(configuration)
  const before = heapBytes()
  const catalog = new Catalog('all')
  const texts = new Map([...shards.texts].map(([hash, text]) => [hash, Buffer.from(text).toString()]))
  const updateMs = measureMs(() => { catalog.update(buildHead(shards, 1), texts) })
  texts.clear()
  const catalogBytes = heapBytes() - before
  const lookupMs = measureMs(() => {
    for (let index = 0; index < lookupCount; index++) catalog.adapter('bench', `a${(index * 7919) % count}`)
  })
  const head = JSON.stringify(buildHead(shards, 1)).length
  const shard = Math.max(...shards.adapters.map(hash => shards.texts.get(hash)?.length ?? 0))
  return {
    dimension: 'adapters',
    size: count,
    shards: shards.adapters.length,
    'catalog bytes': catalogBytes,
    'bytes/change': head + shard,
    'first move ms': roundSignificant(updateMs),
    'look-up µs': roundSignificant(lookupMs * 1000 / lookupCount)
  }
}

/** Time to pick an adapter's rendezvous hosts among the side processes of one base model. */
const sideProcessesRow = (count: number): Row => {
  const candidates = hashCandidates(Array.from({ length: count }, (_, index) => ({ process: `side-${index}`, domain: `zone-${index % 5}` })))
  const rounds = Math.ceil(100_000 / count)
  const ms = measureMs(() => {
    for (let round = 0; round < rounds; round++) rankHashedCandidates(`bench/a${round}`, candidates, 4)
  })
  return { dimension: 'side processes of a model', size: count, 'preference µs': roundSignificant(ms * 1000 / rounds) }
}

/**
 * What idle side processes cost the entry that they keep their uplinks to, and the platform. Measured on real processes by
 * the difference of two readings, `idleMs` apart.
 */
const uplinksRow = async (count: number): Promise<Row> => {
  const cluster = new BenchCluster()
  await cluster.start()
  try {
    const entry = await cluster.entry('entry-0')
    await cluster.apply(entry, benchConfiguration(1), 0)
    for (let index = 0; index < count; index += 8) {
      await Promise.all(Array.from({ length: Math.min(8, count - index) }, (_, offset) => cluster.serviceSide(`side-${index + offset}`)))
    }
    await new Promise(resolve => setTimeout(resolve, idleMs / 2))
    const callsBefore = { ...cluster.platform.store.calls }
    const listsBefore = cluster.platform.listRequests
    const entryBefore = await readProcessUsage(entry.child.pid)
    const sideBefore = await readProcessUsage(cluster.daemons[1]?.child.pid)
    await new Promise(resolve => setTimeout(resolve, idleMs))
    const entryAfter = await readProcessUsage(entry.child.pid)
    const sideAfter = await readProcessUsage(cluster.daemons[1]?.child.pid)
    const perSecond = (increase: number): number => roundSignificant(increase * 1000 / idleMs)
    return {
      dimension: 'uplinks at an entry',
      size: count,
      'entry CPU %': roundSignificant(perSecond(entryAfter.cpuSeconds - entryBefore.cpuSeconds) * 100),
      'entry MB': roundSignificant(entryAfter.residentBytes / 2 ** 20),
      'side CPU %': roundSignificant(perSecond(sideAfter.cpuSeconds - sideBefore.cpuSeconds) * 100),
      'side MB': roundSignificant(sideAfter.residentBytes / 2 ** 20),
      'store reads/s': perSecond(cluster.platform.store.calls.reads - callsBefore.reads),
      'watches opened/s': perSecond(cluster.platform.store.calls.watches - callsBefore.watches),
      'list reads/s': perSecond(cluster.platform.listRequests - listsBefore),
      'list bytes': JSON.stringify({ items: cluster.platform.instances }).length
    }
  } finally {
    await cluster.stop()
  }
}

/** Bytes that the heartbeats of a channel take while no requests pass. */
const idleChannelRow = (): Row => {
  const load = { waiting: 3, running: 12, capacity: 64, epoch: 9, leaving: false }
  const heartbeat = encodeFrame({ type: 'heartbeat', revision: Revision.parse(10_000), load }).length
  return { dimension: 'a channel, idle', size: 1, 'bytes/s each way': roundSignificant(heartbeat * heartbeatsPerSecond) }
}

export const measureCapacity = async (): Promise<void> => {
  const rows: Row[] = [
    ...[520, 5200, 52_000].map(adaptersRow),
    ...[10, 100, 967].map(sideProcessesRow),
    idleChannelRow()
  ]
  for (const count of [1, 16, 64]) rows.push(await uplinksRow(count))
  await publishReport({ name: 'capacity', about: `growth of each dimension; processes idle for ${idleMs / 1000} s`, rows })
}
