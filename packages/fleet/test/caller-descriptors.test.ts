/*
 * Guards against callers whose idle connections take all descriptors of an entry: it could open no connection to a server, refused all
 * requests with 503, closed readiness checks without a response, and found its servers unreachable.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { FleetSystem } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const maxFds = 400
const callers = 30
const requestText = (id: string): string => `POST /again/x HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: ${id}\r\ndeadline-ms: 5000\r\ncontent-length: 0\r\n\r\n`

describe('an entry with more connections of callers than it has descriptors', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  const sockets: Socket[] = []

  before(async () => {
    fleet = new FleetSystem({ network: 140, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5, maxFds: { entry: maxFds } })
    await fleet.start()
  })

  after(async () => {
    for (const socket of sockets) socket.destroy()
    await fleet.stop()
  })

  const open = async (): Promise<Socket> => {
    const socket = connect(fleet.callerAddress())
    socket.on('error', () => {})
    sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }

  const statusOn = async (socket: Socket, id: string): Promise<string> => await new Promise(resolve => {
    socket.once('data', (bytes: Buffer) => resolve(bytes.toString('latin1').slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length)))
    socket.once('close', () => resolve('closed'))
    socket.write(requestText(id))
  })

  it('refuses those beyond its limit at once, and serves the others', async () => {
    const first = await Promise.all(Array.from({ length: callers }, open))
    // An idle connection is kept longer than one without a request.
    await Promise.all(first.map(async (socket, index) => await statusOn(socket, `first-${index}`)))
    const idle = await Promise.all(Array.from({ length: maxFds }, open))
    const last = idle.at(-1)
    if (last?.closed === false) await once(last, 'close')
    const statuses = await Promise.all(first.map(async (socket, index) => await statusOn(socket, `held-${index}`)))
    expect(new Set(statuses)).to.deep.equal(new Set(['200']))
    expect((await fetch(fleet.readyUrl())).status).to.equal(200)
  })

  it('accepts callers again once others have left', async () => {
    for (const socket of sockets.splice(0)) socket.destroy()
    let status = ''
    while (status !== '200') status = await statusOn(await open(), `later-${sockets.length}`)
  })
})
