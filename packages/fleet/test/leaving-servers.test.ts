/*
 * An engine said in each of its answers that it leaves, while the store was silent and went on listing it as ready. Two entries
 * had passed such answers on and sent it requests for 6 s more, until it ended; 2 s are allowed. An entry read of an answer what
 * it says of the request, and passed on what it says of its server without looking at it, so that the store was the only one
 * from which a leaving was learned.
 *
 * What settled it: 60 lines `request.ended` with this engine as the server after the first such answer, its reason `held across`
 * as before, and not one line of any entry that speaks of its leaving.
 */
import { pause } from '@finchpitch/core'
import { FleetLoad, FleetSystem, eventually, type BackendStandIn, type Machine, type Sent } from '@finchpitch/stand-ins'
import { expect } from 'chai'

/** A server that said it leaves gets nothing that a caller sent later than this after an answer that said so. */
const drainMs = 2000
const askEveryMs = 40
/** Less than a request waits where somebody may come: a fifth of the route's 150 ms. */
const atOnceMs = 25
const paths = ['/stream/x', '/again/x']

describe('servers that say in their answers that they leave', function () {
  this.timeout(60_000)
  const network = 38
  let fleet: FleetSystem
  let load: FleetLoad

  beforeEach(async () => {
    fleet = new FleetSystem({ network, domains: 2, entriesPerDomain: 1, enginesPerDomain: 2, plainPerDomain: 2, places: 4, loadMs: 20, workMs: 10, events: 3, eventMs: 5 })
    await fleet.start()
    load = new FleetLoad(fleet, 'leave')
    await load.served(paths)
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  /** Requests that reached `server` though they came to an entry too late after its first answer of the server. */
  const late = (server: BackendStandIn, sent: Sent[], saidAt: number): string[] => fleet.entries.flatMap((_, entry) => {
    const mine = sent.filter(each => each.entry === entry)
    const told = mine.filter(each => each.server === server.id && each.at >= saidAt).map(each => each.endedAt)
    const boundAt = Math.min(...told) + drainMs
    const reached = new Set(server.arrivals.map(({ id }) => id))
    return mine.filter(each => each.at > boundAt && reached.has(each.id)).map(each => each.id)
  })

  const leave = (...servers: BackendStandIn[]): number => {
    for (const server of servers) server.leaving = true
    return performance.now()
  }

  it('get nothing that comes later than the bound, while the store is silent', async () => {
    const [engine, plain] = [fleet.engines.find(each => each.adapters.has('a1')), fleet.plain[0]] as BackendStandIn[]
    fleet.store.fault = 'silent'
    const saidAt = leave(engine as BackendStandIn, plain as BackendStandIn)
    const sent = await load.sendFor(drainMs + 1500, askEveryMs, paths)
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
    expect(late(engine as BackendStandIn, sent, saidAt)).to.deep.equal([])
    expect(late(plain as BackendStandIn, sent, saidAt)).to.deep.equal([])
  })

  it('are known to all entries from the side process beside them, also to one that has just started', async () => {
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    fleet.store.fault = 'silent'
    const started = fleet.entries[1] as Machine
    await fleet.kill(started)
    leave(engine)
    await pause(1000)
    const before = engine.arrivals.length
    await fleet.startProcess(started)
    await eventually('the entry serves', async () => (await load.send(1, '/again/x').catch(() => undefined))?.status === 200, 8000)
    await pause(500)
    await load.sendFor(500, askEveryMs, paths)
    expect(engine.arrivals.slice(before)).to.deep.equal([])
  })

  it('bring adapters in again once they have started again under their id, empty', async () => {
    for (const engine of fleet.engines) {
      engine.bornAt = 1000
      fleet.list(engine)
    }
    await pause(1000)
    const engine = fleet.engines.find(each => each.adapters.has('a1')) as BackendStandIn
    leave(engine)
    await load.sendFor(1000, askEveryMs, paths)
    engine.restart(engine.id)
    engine.leaving = false
    engine.bornAt = 2000
    fleet.list(engine)
    // The other engines leave, so that it is the only one.
    leave(...fleet.engines.filter(each => each !== engine))
    await pause(2000)
    const sent = await load.sendFor(500, askEveryMs, paths)
    expect(sent.filter(each => each.server === engine.id).length).to.be.greaterThan(0)
    expect(sent.filter(each => each.status !== 200)).to.deep.equal([])
  })

  it('have callers told at once where they are the last of their service', async () => {
    fleet.store.fault = 'silent'
    await pause(3500)
    leave(...fleet.plain)
    for (let each = 0; each < fleet.plain.length; each++) await Promise.all([...fleet.entries.keys()].map(async entry => await load.send(entry, '/again/x')))
    const sent = await Promise.all([...fleet.entries.keys()].map(async entry => await load.send(entry, '/again/x')))
    for (const { status, at, endedAt } of sent) {
      expect(status).to.equal(503)
      expect(endedAt - at).to.be.lessThan(atOnceMs)
    }
  })

  it('get nothing either when the store lists them as ready again, and do once they have started again under their id', async () => {
    const plain = fleet.plain[0] as BackendStandIn
    plain.bornAt = 1000
    fleet.list(plain)
    await pause(1000)
    const saidAt = leave(plain)
    const before = await load.sendFor(drainMs + 200, askEveryMs, paths)
    fleet.store.remove('servers', plain.id)
    await pause(200)
    fleet.list(plain)
    const sent = [...before, ...await load.sendFor(1500, askEveryMs, paths)]
    expect(late(plain, sent, saidAt)).to.deep.equal([])
    plain.leaving = false
    plain.bornAt = 2000
    fleet.list(plain)
    await pause(1000)
    expect((await load.sendFor(500, askEveryMs, paths)).some(each => each.server === plain.id)).to.equal(true)
  })
})
