/*
 * Guards against truncated responses that callers take for complete: a response without a length or chunks counted as complete wherever
 * something accepted a connection at the address of its server, or nothing answered there.
 */
import type { AddressInfo, Server } from 'node:net'
import { pause } from '@finchpitch/core'
import { FleetSystem, SilentListener, eventually, type BackendStandIn } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { SingleEntry, decodedBodyOf, sendRaw, statusOf, type RawAnswer } from './single-entry.js'

const head = (id: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\n\r\n`
const event = (number: number): string => `id: ${number}\ndata: ${number}\n\n`
const body = event(1)

/** Each route with each version of HTTP. */
const all = ['1.1', '1.0'].flatMap(version => ['plain', 'again', 'stream', 'resume'].map(route => `${route} HTTP/${version}`))

describe('a response that ends with its connection', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
  })

  afterEach(async () => await entry.stop())

  /** Requests each route with each version of HTTP, each of a server of its own. Returns those whose caller takes the response for complete. */
  const completeOnes = async (addServer: (id: string) => Promise<unknown>): Promise<string[]> => {
    const complete: string[] = []
    for (const name of all) {
      const [route = '', version] = name.split(' HTTP/')
      await addServer(name)
      const result = await entry.send(`/${route}/x`, { version })
      if (statusOf(result) === 200 && decodedBodyOf(result).complete) complete.push(name)
      entry.removeServer(name)
    }
    return complete
  }

  /** Writes a head and a whole event, and ends the connection in order after `before`. */
  const endingAfter = (before: () => Promise<void>): RawAnswer => (socket, id) => {
    socket.write(`${head(id)}${body}`)
    setTimeout(() => { void before().then(() => socket.end()) }, 20)
  }

  for (const delayMs of [0, 50]) {
    it(`is not complete if another server listens at the address ${delayMs} ms before the end of the connection`, async () => {
      expect(await completeOnes(async id => {
        const server: Server = await entry.addServer(id, endingAfter(async () => {
          await entry.replaceServer(server, `${id}, restarted`)
          await pause(delayMs)
        }))
      })).to.deep.equal([])
    })
  }

  it('is not complete if its server does not answer any more', async () => {
    expect(await completeOnes(async id => {
      entry.silentServers.add(id)
      await entry.addServer(id, endingAfter(async () => {}))
    })).to.deep.equal([])
  })

  it('is not complete if the address of its server neither accepts nor refuses connections', async () => {
    const listeners: SilentListener[] = []
    try {
      expect(await completeOnes(async id => {
        const server: Server = await entry.addServer(id, endingAfter(async () => {
          const { port } = server.address() as AddressInfo
          server.close()
          listeners.push(await SilentListener.start(port))
        }))
      })).to.deep.equal([])
      expect(listeners).to.have.length(all.length)
    } finally {
      for (const listener of listeners) listener.stop()
    }
  })

  it('is not complete if its server ended while the caller did not read', async () => {
    const server: Server = await entry.addServer('a', (socket, id) => {
      socket.write(`${head(id)}${`data: ${'x'.repeat(1000)}\n\n`.repeat(20_000)}`)
      setTimeout(() => { void entry.replaceServer(server, 'b').then(() => socket.end()) }, 20)
    })
    const result = await entry.send('/stream/x', { remainingMs: 5000, readAfterMs: 500 })
    expect([statusOf(result), decodedBodyOf(result).complete]).to.deep.equal([200, false])
  })

  for (const [state, change] of Object.entries({
    'goes on': () => {},
    'is draining': (id: string) => entry.drainServer(id),
    'is no longer listed': (id: string) => entry.removeServer(id)
  })) {
    it(`is complete if its server ${state}`, async () => {
      expect(await completeOnes(async id => await entry.addServer(id, endingAfter(async () => change(id))))).to.deep.equal(all)
    })
  }
})

describe('responses of servers that restart at their address before their connections end', function () {
  this.timeout(60_000)
  const events = 6
  const model = 'base/a0'
  const endOfBody = /done \S+ \d+$/
  let fleet: FleetSystem

  const hold = (engine: BackendStandIn): void => {
    engine.hasModel = true
    engine.adapters.set('a0', 1)
  }

  before(async () => {
    fleet = new FleetSystem({ network: 170, domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 2, loadMs: 40, workMs: 10, events, eventMs: 20 })
    await fleet.start()
    for (const engine of fleet.engines) hold(engine)
    for (const server of [...fleet.engines, ...fleet.plainServers]) server.unframed = true
  })

  beforeEach(async () => await eventually('each entry serves all routes', async () => (await sendAll()).every(({ whole }) => whole), 20_000))

  after(async () => await fleet.stop())

  interface Response { route: string, status: number, complete: boolean, whole: boolean }

  let sent = 0

  const send = async (entry: number, route: string, version: string): Promise<Response> => {
    const headers: Record<string, string> = route === 'stream' || route === 'resume' ? { model } : {}
    const result = await sendRaw(fleet.callerAddress(entry), `/${route}/x`, { host: 'fleet.example' }, { id: `r${sent++}`, remainingMs: 4000, headers, version })
    const { body, complete } = decodedBodyOf(result)
    return { route: `${route} HTTP/${version}, entry ${entry}`, status: statusOf(result), complete, whole: endOfBody.test(body) || body.includes(`id: ${events}\n`) }
  }

  const sendAll = async (): Promise<Response[]> =>
    await Promise.all(fleet.entries.flatMap((_, entry) => ['stream', 'resume', 'once', 'again'].flatMap(route => ['1.1', '1.0'].map(async version => await send(entry, route, version)))))

  const looksComplete = (responses: readonly Response[]): string[] =>
    responses.filter(({ status, complete, whole }) => status === 200 && complete && !whole).map(({ route }) => route)

  for (const stopped of [false, true]) {
    it(`are not complete to their callers${stopped ? ', also if entries stand still meanwhile' : ''}`, async () => {
      const servers = [...fleet.engines, ...fleet.plainServers]
      for (const server of servers) server.fault = 'hanging'
      const sentBefore = sent
      const responses = sendAll()
      await eventually('all requests have reached servers', () => servers.flatMap(({ startedIds }) => startedIds).filter(id => Number(id.slice(1)) >= sentBefore).length === sent - sentBefore, 1000)
      await pause(100)
      if (stopped) for (const entry of fleet.entries) fleet.signal(entry.process, 'SIGSTOP')
      for (const server of servers) {
        server.fault = 'none'
        const endFormer = await fleet.restartInPlace(server)
        if (server.options.engine !== undefined) hold(server)
        endFormer()
      }
      if (stopped) {
        await pause(1000)
        for (const entry of fleet.entries) fleet.signal(entry.process, 'SIGCONT')
      }
      expect(looksComplete(await responses)).to.deep.equal([])
    })
  }

  it('are complete to their callers if they are whole', async () => {
    expect((await sendAll()).filter(({ status, complete, whole }) => status !== 200 || !complete || !whole)).to.deep.equal([])
  })
})
