/*
 * Guards against pipelined requests that are passed on although their connection ends with the response before: with two requests at a
 * time on a connection, entries that were stopped passed 30 on and never answered them.
 */
import { connect, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import { FleetSystem, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { decodedBodyOf } from './single-entry.js'

const paths = ['/stream/x', '/resume/x', '/once/x', '/again/x']
/** For each path. */
const connections = 4
/** Time from the start of a fleet until connections are no longer closed for the entry that started last. */
const settledMs = 4500
const statusLine = /(?=HTTP\/1\.1 \d{3} )/
let sent = 0

/** A caller that sends requests two at a time over one connection. */
class PipeliningCaller {
  readonly ids: string[] = []
  readonly #paths = new Map<string, string>()
  #text = ''
  #socket: Socket
  closed = false

  constructor (fleet: FleetSystem) {
    this.#socket = connect(fleet.callerAddress())
    this.#socket.on('data', (chunk: Buffer) => { this.#text += chunk.toString('latin1') })
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => { this.closed = true })
  }

  get #responses (): Array<{ id: string | undefined, status: number, complete: boolean, last: boolean }> {
    return this.#text.split(statusLine).filter(text => text !== '').map(text => ({
      id: /\r\nrequest-id: ([^\r]*)/i.exec(text)?.[1],
      status: Number(text.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length)),
      complete: text.includes('\r\n\r\n') && decodedBodyOf({ text, reset: !this.closed }).complete,
      last: /\r\nconnection: close/i.test(text)
    }))
  }

  /** The ids of the requests that were answered, in the order of the answers. */
  get answered (): string[] {
    return this.#responses.filter(({ complete }) => complete).flatMap(({ id }) => id ?? [])
  }

  get statuses (): number[] {
    return this.#responses.filter(({ complete }) => complete).map(({ status }) => status)
  }

  pathOf (id: string): string {
    return this.#paths.get(id) ?? ''
  }

  /** Sends two requests at once. Resolves once they are answered or the connection has closed. */
  async send (path: string, secondPath = path): Promise<void> {
    const responses = this.#responses.length + 2
    this.write([path, secondPath])
    await eventually('the requests have ended', () => this.closed || this.statuses.length === responses, 6000)
  }

  write (paths: readonly string[], { deadlineMs = 4000, body = 'body' } = {}): void {
    const requests = paths.map(path => {
      const id = `pipelined-${sent++}`
      this.ids.push(id)
      this.#paths.set(id, path)
      return `POST ${path} HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: ${id}\r\nmodel: base\r\ndeadline-ms: ${deadlineMs}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
    })
    this.writeRaw(requests.join(''))
  }

  /** Sends requests until it is told that the connection closes. */
  async sendUntilClosed (path: string, until: () => boolean = () => false): Promise<void> {
    while (!this.closed && !this.#responses.some(({ last }) => last) && !until()) await this.send(path)
  }

  writeRaw (text: string): void {
    this.#socket.write(text)
  }

  close (): void {
    this.#socket.destroy()
  }
}

describe('pipelined requests', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let callers: PipeliningCaller[]

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 190, domains: 1, entriesPerDomain: 2, enginesPerDomain: 2, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 20, workMs: 60, events: 4, eventMs: 20 })
    await fleet.start()
    callers = []
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    for (const caller of callers) caller.close()
    await fleet.stop()
  })

  const newCaller = (): PipeliningCaller => {
    const caller = new PipeliningCaller(fleet)
    callers.push(caller)
    return caller
  }

  const onEach = async (send: (caller: PipeliningCaller, path: string) => Promise<void>): Promise<void> => {
    await Promise.all(paths.flatMap(path => Array.from({ length: connections }, async () => await send(newCaller(), path))))
  }

  /** By path, how many requests reached a server and were not answered. `first`: whether those count behind which others came. */
  const unanswered = (first = true): Record<string, number> => {
    const started = new Set([...fleet.engines, ...fleet.plainServers].flatMap(({ startedIds }) => startedIds))
    const counts: Record<string, number> = {}
    for (const caller of callers) {
      for (const [index, id] of caller.ids.entries()) {
        if (!started.has(id) || caller.answered.includes(id) || (!first && index % 2 === 0)) continue
        counts[caller.pathOf(id)] = (counts[caller.pathOf(id)] ?? 0) + 1
      }
    }
    return counts
  }

  it('that arrived while the entry listened have their turn after it has stopped', async () => {
    const [entry] = fleet.entries as [Machine]
    await pause(settledMs)
    for (const server of fleet.engines) server.slowdown = 5
    const caller = newCaller()
    const stopped = fleet.kill(entry, 'SIGTERM')
    await pause(2000)
    caller.write(Array.from({ length: 6 }, () => '/stream/x'), { deadlineMs: 5000 })
    await stopped
    expect(caller.statuses).to.deep.equal(caller.ids.map(() => 200))
  })

  it('are all answered in order', async () => {
    // Connections are balanced until then, as the second entry has joined.
    await pause(settledMs)
    await onEach(async (caller, path) => {
      for (let round = 0; round < 10; round++) await caller.send(path)
    })
    for (const { ids, answered } of callers) expect(answered).to.deep.equal(ids)
  })

  it('are not passed on and left unanswered by an entry that is stopped', async () => {
    const sending = onEach(async (caller, path) => await caller.sendUntilClosed(path))
    await pause(500)
    await Promise.all([fleet.kill(fleet.entries[0] as never, 'SIGTERM'), sending])
    expect(unanswered()).to.deep.equal({})
    // They were sent before the close was announced.
    for (const { ids, answered } of callers) expect(answered).to.deep.equal(ids)
  })

  it('are not passed on and left unanswered by an entry whose connections are balanced', async () => {
    await fleet.kill(fleet.entries[1] as never)
    await eventually('the entry has left', () => fleet.lines(fleet.entries[0] as never).some(({ event, entries }) => event === 'entries.counted' && entries === 1), 10_000)
    let done = false
    const sending = onEach(async (caller, path) => await caller.sendUntilClosed(path, () => done))
    await fleet.startProcess(fleet.entries[1] as never)
    await pause(6000)
    done = true
    await sending
    expect(callers.filter(({ closed }) => closed)).to.have.length.above(0)
    expect(unanswered()).to.deep.equal({})
  })

  it('are not passed on behind a response that ends with its connection', async () => {
    for (const server of fleet.plainServers) server.unframed = true
    await onEach(async (caller, path) => await caller.send('/again/x', path))
    expect(callers.filter(({ closed }) => closed)).to.have.length(callers.length)
    expect(unanswered()).to.deep.equal({})
  })

  it('are not passed on behind a stream that is cut off', async () => {
    for (const engine of fleet.engines) engine.fault = 'torn'
    await onEach(async (caller, path) => await caller.send('/stream/x', path))
    expect(callers.filter(({ closed }) => closed)).to.have.length(callers.length)
    expect(unanswered(false)).to.deep.equal({})
  })

  describe('behind one that takes long', () => {
    let caller: PipeliningCaller

    const startedIds = (): string[] => fleet.plainServers.flatMap(server => server.startedIds)
    const running = async (): Promise<string | undefined> => /^finchpitch_requests_running (\d+)$/m.exec(await (await fetch(fleet.metricsUrl())).text())?.[1]

    beforeEach(async () => {
      for (const server of fleet.plainServers) server.slowdown = 10
      caller = newCaller()
      caller.write(['/once/x'])
      await eventually('the first runs', () => startedIds().length === 1)
    })

    it('are refused as not run once their own deadline has passed', async () => {
      caller.write(['/once/x'], { deadlineMs: 200 })
      await eventually('both are answered', () => caller.statuses.length === 2)
      expect(caller.statuses).to.deep.equal([200, 503])
      expect(startedIds()).to.have.length(1)
    })

    it('are dropped when their caller leaves, and the first is cancelled', async () => {
      caller.write(['/once/x', '/again/x'])
      await pause(50)
      caller.close()
      await eventually('the first is cancelled', () => fleet.plainServers.some(({ disconnectedIds }) => disconnectedIds.length === 1), 300)
      await eventually('none is in progress', async () => await running() === '0')
      expect(startedIds()).to.have.length(1)
    })

    // The answer of the one that runs was a 400, or a 408, which states that it has not run.
    for (const { what, text } of [{ what: 'are malformed', text: 'no request\r\n\r\n' }, { what: 'have too large a head', text: `GET /again/x HTTP/1.1\r\nx: ${'y'.repeat(70_000)}` }]) {
      it(`do not replace its answer if they ${what}`, async () => {
        caller.write(['/again/x'])
        await pause(50)
        caller.writeRaw(text)
        await eventually('the connection has closed', () => caller.closed)
        expect(caller.statuses).to.deep.equal([200])
        expect(caller.answered).to.deep.equal(caller.ids.slice(0, 1))
        expect(startedIds()).to.have.length(1)
      })
    }

    it('do not replace its answer if their heads are late', async () => {
      for (const { options } of fleet.engines) options.workMs = 4500
      const other = newCaller()
      other.write(['/stream/x'], { deadlineMs: 8000 })
      await eventually('it runs', () => fleet.engines.some(engine => engine.startedIds.length === 1))
      other.writeRaw('GET /again/x HTTP/1.1\r\n')
      await eventually('the connection has closed', () => other.closed, 10_000)
      expect(other.statuses).to.not.include(408)
      expect(other.answered).to.deep.equal(other.ids)
    })

    it('are served in order, also with large bodies', async () => {
      caller.write(Array.from({ length: 20 }, () => '/again/x'), { body: 'x'.repeat(100_000) })
      for (const server of fleet.plainServers) server.slowdown = 0.1
      await eventually('all are answered', () => caller.answered.length === caller.ids.length, 10_000)
      expect(caller.answered).to.deep.equal(caller.ids)
    })
  })
})

describe('pipelined requests of which there are many', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 191, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 4, adapterSlots: 4, loadMs: 20, workMs: 600, events: 4, eventMs: 20, nodeOptions: ['--max-old-space-size=64'] })
    await fleet.start()
  })

  after(async () => await fleet.stop())

  it('do not end the process if their heads are large', async () => {
    const largeHead = `POST /again/x HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: large\r\n${'x: y\r\n'.repeat(1900)}\r\n`
    const callers = Array.from({ length: 16 }, () => new PipeliningCaller(fleet))
    for (const caller of callers) caller.writeRaw(largeHead.repeat(60))
    await eventually('connections have closed', () => callers.some(({ closed }) => closed))
    await pause(1000)
    for (const caller of callers) caller.close()
    expect(fleet.unexpectedExits).to.deep.equal([])
  })

  it('do not end the process if their bodies are large', async () => {
    const callers = Array.from({ length: 20 }, () => new PipeliningCaller(fleet))
    for (const caller of callers) caller.write(Array.from({ length: 300 }, () => '/again/x'), { body: 'x'.repeat(60_000) })
    await pause(2000)
    for (const caller of callers) caller.close()
    expect(fleet.unexpectedExits).to.deep.equal([])
  })

  it('do not end the process if 20,000 come over one connection', async () => {
    const caller = new PipeliningCaller(fleet)
    caller.write(Array.from({ length: 20_000 }, () => '/again/x'))
    await pause(2000)
    caller.close()
    expect(fleet.unexpectedExits).to.deep.equal([])
    expect(fleet.entries[0]?.memory?.peakMb).to.be.below(250)
  })
})
