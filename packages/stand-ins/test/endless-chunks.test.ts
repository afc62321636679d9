/*
 * Guards against responses without end in chunks of one byte: an entry counted the bytes that it kept, but each chunk took a hundred times
 * its length, and the entry ended for its memory, with the requests of all other services.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { pause } from '@finchpitch/core'
import { FleetSystem, sendToFleet } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const memoryMb = 250
const floodMs = 6000
const floodCallers = 60
const streamGapMs = 50
const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000))

type Handler = (request: IncomingMessage) => Promise<void>

describe('servers that send chunks of one byte without end', function () {
  this.timeout(40_000)
  const fleet = new FleetSystem({ network: 196, domains: 1, entriesPerDomain: 1, enginesPerDomain: 2, plainServersPerDomain: 3, adapterSlots: 4, loadMs: 80, workMs: 20, events: 4, eventMs: 10, memoryMb: { entry: memoryMb } })

  before(async () => await fleet.start())
  after(async () => await fleet.stop())

  const stream = async (): Promise<number> => {
    const { status, whole } = await sendToFleet(fleet, { path: '/stream/x', id: randomUUID(), model: 'base/a1' })
    return whole ? status : 0
  }

  it('do not end the entry, and streams of other servers go on', async () => {
    for (const server of fleet.plainServers.slice(0, 2)) {
      (server as unknown as { handle: Handler }).handle = async ({ socket, headers }) => {
        const fill = (): void => { while (!socket.destroyed && socket.write(chunks)); }
        socket.on('error', () => {}).on('drain', fill)
        socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${String(headers['request-id'])}\r\nresponse-seal: s\r\ntransfer-encoding: chunked\r\n\r\n`)
        fill()
        await Promise.resolve()
      }
    }
    const endAt = performance.now() + floodMs
    const isOver = (): boolean => performance.now() > endAt
    const flood = async (): Promise<void> => {
      while (!isOver()) {
        await sendToFleet(fleet, { path: '/again/x', id: randomUUID(), remainingMs: 2000 }).catch(() => undefined)
        await pause(streamGapMs)
      }
    }
    const statuses: number[] = []
    const sendStreams = async (): Promise<void> => {
      while (!isOver()) {
        statuses.push(await stream().catch(() => -1))
        await pause(streamGapMs)
      }
    }
    await Promise.all([sendStreams(), ...Array.from({ length: floodCallers }, flood)])
    expect(fleet.unexpectedExits.splice(0)).to.deep.equal([])
    expect(new Set(statuses)).to.deep.equal(new Set([200]))
    expect(fleet.peakMb('entry')).to.be.within(1, memoryMb)
  })
})
