import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const startupMs = 2500
let sent = 0

describe('engine updates across failure domains', function () {
  this.timeout(60_000)
  let fleet: FleetSystem

  const ask = async (model: string, entry: number): Promise<number> =>
    (await sendToFleet(fleet, { path: '/stream/x', id: `relay-${sent++}`, model, entry })).status

  /** Names of the peers that are connected to a side process now. */
  const connectedPeers = (side: Machine, prefix: string): string[] => {
    const count = (event: string, name: string): number => events(side, event).filter(line => line.reader === name).length
    const names = new Set(events(side, 'reader.joined').map(line => String(line.reader)))
    return [...names].filter(name => name.startsWith(prefix) && count('reader.joined', name) > count('reader.lost', name))
  }
  const events = (machine: Machine | undefined, event: string): Array<Record<string, unknown>> =>
    machine === undefined ? [] : fleet.lines(machine).filter(line => line.event === event)

  beforeEach(async () => {
    fleet = new FleetSystem({ network: 34, domains: 2, entriesPerDomain: 2, enginesPerDomain: 2, plainServersPerDomain: 0, adapterSlots: 3, loadMs: 60, workMs: 5, events: 3, eventMs: 5 })
    await fleet.start()
    await pause(startupMs)
  })

  afterEach(async () => { await fleet.stop() })

  it('are sent once per domain, and entries keep no unused channels to other domains', () => {
    for (const side of fleet.sides) {
      const own = side.name.split('-')[1]
      const other = own === 'd0' ? 'd1' : 'd0'
      expect(connectedPeers(side, `entry-${own}`), side.name).to.have.length(2)
      expect(connectedPeers(side, `entry-${other}`), side.name).to.have.length(0)
      expect(connectedPeers(side, `side-${other}`), side.name).to.have.length(1)
    }
  })

  it('let an entry use adapters of remote engines, and have adapters loaded there', async () => {
    const adapters = Array.from({ length: 10 }, (_, each) => `base/far${each}`)
    for (const model of adapters) expect(await ask(model, 0)).to.equal(200)
    await pause(300)
    const loads = (): number => fleet.engines.reduce((sum, engine) => sum + engine.orders.filter(order => order.operation === 'load').length, 0)
    const before = loads()
    // The last adapters are still loaded somewhere, and an entry of the other domain finds them there.
    for (const model of adapters.slice(-3)) expect(await ask(model, 2)).to.equal(200)
    expect(loads()).to.equal(before)
  })

  it('arrive through another side process within 1.5 s when the relaying one freezes', async () => {
    const [side] = fleet.sides
    side?.process?.kill('SIGSTOP')
    const changed = (entry: Machine | undefined): boolean => events(entry, 'news.source_changed').length > 0
    await eventually('both entries of its domain use another side process', () => changed(fleet.entries[0]) && changed(fleet.entries[1]), 1500)
    for (let each = 0; each < 6; each++) expect(await ask(`base/frozen${each}`, 0)).to.equal(200)
    side?.process?.kill('SIGCONT')
  })

  it('report a lost side process, so that no request waits for its answer', async () => {
    const lost = fleet.sides.slice(2, 3)
    for (const side of lost) await fleet.kill(side)
    await pause(400)
    const times: number[] = []
    for (let each = 0; each < 12; each++) {
      const started = Date.now()
      expect(await ask(`base/lost${each}`, 0)).to.equal(200)
      times.push(Date.now() - started)
    }
    // A load takes 60 ms. An entry that sends a demand in vain waits half a second before it tries another engine.
    expect(Math.max(...times)).to.be.lessThan(450)
    for (const side of lost) await fleet.startProcess(side)
  })

  it('come directly from the engines\' side processes while no local one is left', async () => {
    for (const side of fleet.sides.slice(0, 2)) await fleet.kill(side)
    const others = fleet.sides.slice(2)
    await eventually('the entries subscribe to remote engines directly', () => others.every(side => connectedPeers(side, 'entry-d0').length === 2), 2500)
    expect(await ask('base/alone', 0)).to.equal(200)
    for (const side of fleet.sides.slice(0, 2)) await fleet.startProcess(side)
    await eventually('the local side processes send updates again', () => events(fleet.entries[0], 'news.source_changed').length > 0, 4000)
    expect(await ask('base/back', 0)).to.equal(200)
  })
})
