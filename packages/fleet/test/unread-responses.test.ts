/*
 * Guards against an entry that is stopped and cuts off responses that callers are reading: Node takes a connection for idle once its
 * response has been ended, and of 12 MB that were read at 2.5 MB per second a caller got 10.3.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { pause } from '@finchpitch/core'
import { FleetSystem } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const bytes = 12_000_000
const readBytes = 100_000
const readIntervalMs = 40

describe('a response that its caller reads slowly', function () {
  this.timeout(30_000)
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 193, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 4, loadMs: 20, workMs: 10, events: 2, eventMs: 1 })
    await fleet.start()
    for (const server of fleet.plainServers) Object.assign(server, { largePath: '/again/large', largeBytes: bytes })
  })

  after(async () => await fleet.stop())

  it('is delivered whole by an entry that is stopped', async () => {
    const caller = connect(fleet.callerAddress())
    caller.write('POST /again/large HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: large\r\ndeadline-ms: 9000\r\ncontent-length: 0\r\n\r\n')
    await once(caller, 'readable')
    let read = 0
    const reading = setInterval(() => { read += (caller.read(readBytes) as Buffer | null)?.length ?? 0 }, readIntervalMs)
    await pause(200)
    const stopped = fleet.kill(fleet.entries[0] as never, 'SIGTERM')
    await once(caller, 'close')
    clearInterval(reading)
    expect(read).to.be.above(bytes)
    await stopped
  })
})
