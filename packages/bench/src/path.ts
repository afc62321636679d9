/**
 * `npm run bench -- path`: latency, CPU time and memory that the entry and the side process add to a request, compared with
 * sending it to the stand-in engine directly. Both are measured in the same run.
 */
import { Agent, request } from 'undici'
import { publishReport, roundSignificant, type Row } from './report.js'
import { BenchCluster, benchConfiguration, callerToken } from './bench-cluster.js'
import { measureRepeated, readProcessUsage, type LatencyHistogram, type ProcessUsage } from './measure.js'

const warmUps = 200
const requests = 600
const openStreams = 400
const longStreamTokens = 100
const slowTokenMs = 100
const settleMs = 1500

const agent = new Agent({ connections: 1024, pipelining: 1 })

interface Target {
  name: string
  url: string
  headers: Record<string, string>
  model: string
}

const send = async ({ url, headers, model }: Target, index: number, stream: boolean, maxTokens = 1): Promise<Awaited<ReturnType<typeof request>>> => {
  const body = JSON.stringify({ model, prompt: `p${index}`, max_tokens: maxTokens, stream })
  return await request(url, { dispatcher: agent, method: 'POST', headers: { 'content-type': 'application/json', 'x-request-id': `r${index}`, 'x-fence': '1', ...headers }, body })
}

const sendAndReadAll = (target: Target, stream: boolean) => async (index: number): Promise<void> => {
  const reply = await send(target, index, stream)
  const text = await reply.body.text()
  if (reply.statusCode !== 200 || (stream && !text.includes('[DONE]'))) throw new Error(`${target.name}: ${reply.statusCode} ${text}`)
}

const cpuSecondsBetween = (before: ProcessUsage[], after: ProcessUsage[]): number =>
  after.reduce((sum, usage, index) => sum + usage.cpuSeconds - (before[index]?.cpuSeconds ?? 0), 0)

const row = (name: string, direct: LatencyHistogram, through: LatencyHistogram, cpuSeconds: number[]): Row => {
  const [entryCpu, sideCpu] = cpuSeconds.map(seconds => roundSignificant(seconds * 1e6 / requests))
  return {
    request: name,
    'direct p50 ms': roundSignificant(direct.percentile(50)),
    'through p50 ms': roundSignificant(through.percentile(50)),
    'ratio p50': roundSignificant(through.percentile(50) / direct.percentile(50)),
    'direct p99 ms': roundSignificant(direct.percentile(99)),
    'through p99 ms': roundSignificant(through.percentile(99)),
    'ratio p99': roundSignificant(through.percentile(99) / direct.percentile(99)),
    'entry CPU µs': entryCpu ?? NaN,
    'side CPU µs': sideCpu ?? NaN
  }
}

/** Growth of each process's resident memory per open stream, with `openStreams` slow ones open. */
const streamBytes = async (target: Target, pids: Array<number | undefined>): Promise<number[]> => {
  const before = await Promise.all(pids.map(readProcessUsage))
  const replies = await Promise.all(Array.from({ length: openStreams }, (_, index) => send(target, index, true, longStreamTokens)))
  await new Promise(resolve => setTimeout(resolve, settleMs))
  const after = await Promise.all(pids.map(readProcessUsage))
  for (const { body } of replies) body.on('error', () => {}).destroy()
  return after.map((usage, index) => Math.round((usage.residentBytes - (before[index]?.residentBytes ?? 0)) / openStreams))
}

export const measurePath = async (): Promise<void> => {
  const cluster = new BenchCluster()
  await cluster.start()
  const side = await cluster.engineSide('engine-0')
  const entry = await cluster.entry('entry-0')
  await cluster.apply(entry, benchConfiguration(1), 0)
  const through: Target = { name: 'through', url: `${entry.url('callers')}/v1/completions`, headers: { authorization: `Bearer ${callerToken}` }, model: 'bench/a0' }
  await sendAndReadAll(through, false)(0)
  const [label] = cluster.engine.engine.loaded
  const direct: Target = { name: 'direct', url: `${cluster.origins.engine}/v1/completions`, headers: {}, model: label ?? '' }
  const pids = [entry.child.pid, side.child.pid]
  const rows: Row[] = []
  for (const [stream, concurrency] of [[false, 1], [false, 16], [true, 1], [true, 16]] as const) {
    for (const target of [direct, through]) await measureRepeated(warmUps, concurrency, sendAndReadAll(target, stream))
    const directLatencies = await measureRepeated(requests, concurrency, sendAndReadAll(direct, stream))
    const before = await Promise.all(pids.map(readProcessUsage))
    const throughLatencies = await measureRepeated(requests, concurrency, sendAndReadAll(through, stream))
    const after = await Promise.all(pids.map(readProcessUsage))
    rows.push(row(`${stream ? 'stream' : 'whole'}, ${concurrency} at once`, directLatencies, throughLatencies, pids.map((_, index) => cpuSecondsBetween([before[index] as ProcessUsage], [after[index] as ProcessUsage]))))
  }
  cluster.engine.engine.tokenMs = slowTokenMs
  const [entryBytes, sideBytes] = await streamBytes(through, pids)
  rows.push({ request: `open stream, ${openStreams} at once`, 'entry bytes': entryBytes ?? NaN, 'side bytes': sideBytes ?? NaN })
  await cluster.stop()
  await agent.destroy()
  await publishReport({ name: 'path', about: `${requests} requests of one token each way, in one run; CPU by the kernel's count`, rows })
}
