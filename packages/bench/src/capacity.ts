/**
 * `npm run bench -- capacity`: how state, messages, processor time and memory grow with each dimension.
 */
import { Revision, check } from '@finchpitch/core'
import { hashCandidates, rankHashedCandidates } from '@finchpitch/decisions'
import { Catalog, split, type Head } from '@finchpitch/store'
import { encode } from '@finchpitch/wire'
import { publish, rounded, type Row } from './report.js'
import { Rig, benchConfiguration } from './rig.js'
import { usageOf } from './sample.js'

const heartbeatsPerSecond = 0.5
const idleMs = 12_000
const lookups = 20_000

const headOf = (shards: ReturnType<typeof split>, revision: number): Head => ({
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

const timed = (task: () => void): number => {
  const startedAt = performance.now()
  task()
  return performance.now() - startedAt
}

/** Adapters known of: what a catalog holds, what a change costs, what a look-up costs. */
const adaptersRow = (count: number): Row => {
  const configuration = check(benchConfiguration(count))._unsafeUnwrap()
  const shards = split(configuration)
  const before = heapBytes()
  const catalog = new Catalog('all')
  const texts = new Map([...shards.texts].map(([hash, text]) => [hash, Buffer.from(text).toString()]))
  const moveMs = timed(() => { catalog.move(headOf(shards, 1), texts) })
  texts.clear()
  const held = heapBytes() - before
  const lookupMs = timed(() => {
    for (let index = 0; index < lookups; index++) catalog.adapter('bench', `a${(index * 7919) % count}`)
  })
  const head = JSON.stringify(headOf(shards, 1)).length
  const shard = Math.max(...shards.adapters.map(hash => shards.texts.get(hash)?.length ?? 0))
  return {
    dimension: 'adapters',
    size: count,
    shards: shards.adapters.length,
    'catalog bytes': held,
    'bytes/change': head + shard,
    'first move ms': rounded(moveMs),
    'look-up µs': rounded(lookupMs * 1000 / lookups)
  }
}

/** Side processes of one base model: what finding an adapter's preferred ones costs. */
const sidesRow = (count: number): Row => {
  const candidates = hashCandidates(Array.from({ length: count }, (_, index) => ({ process: `side-${index}`, domain: `zone-${index % 5}` })))
  const rounds = Math.ceil(100_000 / count)
  const ms = timed(() => {
    for (let round = 0; round < rounds; round++) rankHashedCandidates(`bench/a${round}`, candidates, 4)
  })
  return { dimension: 'side processes of a model', size: count, 'preference µs': rounded(ms * 1000 / rounds) }
}

/** Real processes: what one more side process costs the entry that it has its uplink to, and the platform. */
const uplinksRow = async (count: number): Promise<Row> => {
  const rig = new Rig()
  await rig.start()
  try {
    const entry = await rig.entry('entry-0')
    await rig.apply(entry, benchConfiguration(1), 0)
    for (let index = 0; index < count; index += 8) {
      await Promise.all(Array.from({ length: Math.min(8, count - index) }, (_, at) => rig.serviceSide(`side-${index + at}`)))
    }
    await new Promise(resolve => setTimeout(resolve, idleMs / 2))
    const calls = { ...rig.platform.store.calls }
    const lists = rig.platform.lists
    const before = await usageOf(entry.child.pid)
    const sideBefore = await usageOf(rig.daemons[1]?.child.pid)
    await new Promise(resolve => setTimeout(resolve, idleMs))
    const after = await usageOf(entry.child.pid)
    const sideAfter = await usageOf(rig.daemons[1]?.child.pid)
    const perSecond = (used: number): number => rounded(used * 1000 / idleMs)
    return {
      dimension: 'uplinks at an entry',
      size: count,
      'entry CPU %': rounded(perSecond(after.cpuSeconds - before.cpuSeconds) * 100),
      'entry MB': rounded(after.residentBytes / 2 ** 20),
      'side CPU %': rounded(perSecond(sideAfter.cpuSeconds - sideBefore.cpuSeconds) * 100),
      'side MB': rounded(sideAfter.residentBytes / 2 ** 20),
      'store reads/s': perSecond(rig.platform.store.calls.reads - calls.reads),
      'watches opened/s': perSecond(rig.platform.store.calls.watches - calls.watches),
      'list reads/s': perSecond(rig.platform.lists - lists),
      'list bytes': JSON.stringify({ items: rig.platform.instances }).length
    }
  } finally {
    await rig.stop()
  }
}

const framesRow = (): Row => {
  const load = { waiting: 3, running: 12, capacity: 64, epoch: 9, leaving: false }
  const heartbeat = encode({ type: 'heartbeat', revision: Revision.parse(10_000), load }).length
  return { dimension: 'a channel, idle', size: 1, 'bytes/s each way': rounded(heartbeat * heartbeatsPerSecond) }
}

export const capacity = async (): Promise<void> => {
  const rows: Row[] = [
    ...[520, 5200, 52_000].map(adaptersRow),
    ...[10, 100, 967].map(sidesRow),
    framesRow()
  ]
  for (const count of [1, 16, 64]) rows.push(await uplinksRow(count))
  await publish({ name: 'capacity', about: `growth of each dimension; processes idle for ${idleMs / 1000} s`, rows })
}
