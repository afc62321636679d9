/* Guards against a side process that accepts connections after it has stopped: entries joined it again and asked it for adapters. */
import { connect, type Socket } from 'node:net'
import { FleetSystem, channelOptions, peerPort, type Machine } from '@finchpitch/stand-ins'
import { Channel } from '@finchpitch/wire'
import { expect } from 'chai'

describe('a side process that is stopped', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let side: Machine

  before(async () => {
    fleet = new FleetSystem({ network: 73, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 0, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    side = fleet.sides[0] as Machine
  })

  after(async () => { await fleet.stop() })

  const connectToSide = (): Socket => {
    const socket = connect({ host: side.ip, port: peerPort })
    socket.on('error', () => {})
    return socket
  }

  it('refuses connections once it has closed those that it had', async () => {
    const joined = new Channel(connectToSide(), channelOptions('entry-9'))
    void (async () => { for await (const frame of joined.frames()) void frame })()
    expect(await joined.helloReceived).to.equal(true)
    const exited = fleet.kill(side, 'SIGTERM')
    await joined.ended
    const late = connectToSide()
    let accepted = false
    late.on('connect', () => { accepted = true })
    // Unlike `once`, this does not reject if the connection is refused.
    await new Promise<void>(resolve => { late.on('close', () => resolve()).resume() })
    expect(accepted).to.equal(false)
    await exited
  })
})
