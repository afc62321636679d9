/* Guards against planned stops that pass requests on, or keep them, and then end without answering them. */
import { connect } from 'node:net'
import { pause } from '@finchpitch/core'
import { FleetSystem, type BackendStandIn, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

interface Sent {
  path: string
  /** When its head and the first half of its body are sent, in ms after the order to stop. */
  headAt: number
  /** When the rest is sent. */
  endAt: number
}

interface Outcome extends Sent {
  id: string
  status: number
  /** Whether the response was received completely. */
  whole: boolean
  retryAfter: string | undefined
  /** When the response was complete or broken off, in ms after the order to stop. */
  ms: number
  /** It began to run at a server. */
  ran: boolean
}

const deadlineMs = 14_000
const route = { host: 'fleet.example', timeoutMs: 15_000, targetLatencyMs: 3000, priority: 1, maxAttempts: 2, resumable: false }
const stream = { ...route, kind: 'stream', service: 'engines', sticky: true, gapAimMs: 2000 }
const plain = { ...route, service: 'ledger', sticky: false }
const routes = [
  { ...stream, name: 'r-stream-long', pathPrefix: '/stream-long/' },
  { ...stream, name: 'r-resume-long', pathPrefix: '/resume-long/', resumable: true },
  { ...plain, name: 'r-once-long', pathPrefix: '/once-long/', kind: 'non_idempotent' },
  { ...plain, name: 'r-again-long', pathPrefix: '/again-long/', kind: 'idempotent' },
  { ...plain, name: 'r-unknown-long', pathPrefix: '/unknown-long/', kind: 'non_idempotent' }
]
const streamPaths = ['/stream-long/', '/resume-long/']
const plainPaths = ['/once-long/', '/again-long/']

const isWhole = (text: string): boolean => {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return false
  const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1]
  return length === undefined ? text.endsWith('\r\n0\r\n\r\n') : text.length - headEnd - 4 >= Number(length)
}

const times = (from: number, to: number, step: number): number[] => Array.from({ length: Math.floor((to - from) / step) + 1 }, (_, index) => from + index * step)

const atOnce = (paths: string[], at: number[]): Sent[] => at.flatMap(each => paths.map(path => ({ path, headAt: each, endAt: each })))

const lateBodies = (paths: string[], headAt: number, endsAt: number[]): Sent[] => endsAt.flatMap(endAt => paths.map(path => ({ path, headAt, endAt })))

describe('a planned stop', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let entry: Machine
  let count = 0

  const servers = (): BackendStandIn[] => [...fleet.engines, ...fleet.plainServers]

  const send = ({ path, headAt, endAt }: Sent, startedAt: number): Promise<Outcome> => new Promise(resolve => {
    const id = `stop-${++count}`
    const model = streamPaths.includes(path) ? 'model: base\r\n' : ''
    let text = ''
    const socket = connect(fleet.callerAddress(0))
    const finish = (): void => {
      socket.destroy()
      const retryAfter = /retry-after: ([\d.]+)/i.exec(text)?.[1]
      const ran = servers().some(server => server.startedIds.includes(id))
      resolve({ id, path, headAt, endAt, status: Number(text.slice(9, 12)), whole: isWhole(text), retryAfter, ms: performance.now() - startedAt, ran })
    }
    socket.setEncoding('latin1').on('data', (chunk: string) => {
      text += chunk
      if (isWhole(text)) finish()
    })
    socket.on('error', () => {}).on('close', finish)
    socket.write(`POST ${path}x HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: ${id}\r\ndeadline-ms: ${deadlineMs}\r\n${model}content-length: 4\r\n\r\nab`)
    setTimeout(() => { if (!socket.destroyed) socket.write('cd') }, endAt - headAt)
  })

  /** Starts a fleet, has it run some requests of each path, orders the entry to stop and sends the requests. */
  const stopUnder = async (options: { network: number, graceS: number, workMs?: number, plainSlots?: number, eventMs?: number }, sent: Sent[], afterWarmUp = (): void => {}): Promise<Outcome[]> => {
    const { network, graceS, workMs = 20, eventMs = 60, plainSlots } = options
    fleet = new FleetSystem({ network, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 20, workMs, events: 5, eventMs, routes, bounds: { graceS }, ...(plainSlots === undefined ? {} : { plainSlots }) })
    await fleet.start()
    entry = fleet.entries[0] as Machine
    for (let run = 0; run < 4; run++) await Promise.all([...streamPaths, ...plainPaths].map(async path => await send({ path, headAt: 0, endAt: 0 }, performance.now())))
    afterWarmUp()
    const startedAt = performance.now()
    const stopped = fleet.kill(entry, 'SIGTERM')
    const outcomes = await Promise.all(sent.map(async each => {
      await pause(each.headAt)
      return await send(each, startedAt)
    }))
    await stopped
    return outcomes
  }

  afterEach(async () => { await fleet.stop() })

  const expectTruth = (outcomes: Outcome[]): void => {
    expect(outcomes.filter(({ status, ran }) => status === 503 && ran), 'refused as not run, but run').to.deep.equal([])
    expect(outcomes.filter(({ status, retryAfter }) => status === 503 && retryAfter === undefined), 'refused without Retry-After').to.deep.equal([])
    expect(entry.process?.exitCode).to.equal(0)
  }

  for (const { network, graceS, endMs } of [{ network: 185, graceS: 3, endMs: 2300 }, { network: 186, graceS: 1, endMs: 750 }]) {
    it(`passes on requests whose bodies end late in a grace of ${graceS} s, and cuts them`, async () => {
      const headAt = graceS * 1000 * 0.4
      const outcomes = await stopUnder({ network, graceS }, lateBodies([...streamPaths, ...plainPaths], headAt, times(headAt + 50, endMs + 100, 100)))
      expectTruth(outcomes)
      expect(outcomes.filter(({ whole }) => !whole), 'not answered').to.deep.equal([])
      // Those that can easily be served are.
      const early = outcomes.filter(({ path, endAt }) => endAt < endMs - (streamPaths.includes(path) ? 700 : 250))
      expect(early.map(({ status }) => status)).to.include(200).and.not.include(503)
    })
  }

  it('passes on requests that can hardly run before its end, and cuts them without an answer', async () => {
    const sent = lateBodies(['/once-long/', '/again-long/', '/unknown-long/'], 1200, times(1250, 2350, 100))
    const outcomes = await stopUnder({ network: 187, graceS: 3, workMs: 600 }, sent)
    expectTruth(outcomes)
    expect(outcomes.filter(({ whole }) => !whole), 'not answered').to.deep.equal([])
    expect(outcomes.filter(({ path, status }) => path === '/unknown-long/' && status !== 503), 'may take until their deadline').to.deep.equal([])
  })

  it('ends without an answer to requests that servers do not answer, and to those whose bodies have not arrived', async () => {
    const mute = (): void => { for (const server of fleet.plainServers) server.fault = 'mute' }
    const sent = [...atOnce(plainPaths, times(100, 1000, 300)), ...lateBodies(plainPaths.map(path => `${path}body-`), 900, [9000])]
    const outcomes = await stopUnder({ network: 188, graceS: 3 }, sent, mute)
    expectTruth(outcomes)
    expect(outcomes.filter(({ whole }) => !whole), 'not answered').to.deep.equal([])
    expect(outcomes.filter(({ endAt }) => endAt < 9000).map(({ status }) => status)).to.deep.equal(Array.from({ length: 8 }, () => 504))
    // Silence is no reason to answer sooner.
    expect(Math.min(...outcomes.filter(({ status }) => status === 504).map(({ ms }) => ms))).to.be.at.least(2250)
    expect(outcomes.filter(({ endAt }) => endAt === 9000).map(({ status }) => status)).to.deep.equal([503, 503])
  })

  it('keeps requests waiting for full servers until it ends, without an answer', async () => {
    const outcomes = await stopUnder({ network: 189, graceS: 3, workMs: 500, plainSlots: 1 }, atOnce(['/once-long/'], times(50, 1400, 50)))
    expectTruth(outcomes)
    expect(outcomes.filter(({ whole }) => !whole), 'not answered').to.deep.equal([])
    expect(outcomes.filter(({ status }) => status === 200)).to.not.have.length(0)
    const refused = outcomes.filter(({ status }) => status === 503)
    expect(refused).to.not.have.length(0)
    expect(Math.max(...refused.map(({ ms }) => ms)), 'the last is refused in time to be served elsewhere').to.be.below(2300)
  })

  it('cuts streams that run for longer so that they look complete', async () => {
    const slow = (): void => { for (const engine of fleet.engines) engine.slowdown = 10 }
    const outcomes = await stopUnder({ network: 185, graceS: 1 }, atOnce(streamPaths, [30]), slow)
    expectTruth(outcomes)
    expect(outcomes.map(({ status, whole }) => ({ status, whole }))).to.deep.equal([{ status: 200, whole: false }, { status: 200, whole: false }])
  })
})
