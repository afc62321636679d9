/*
 * Guards against bodies that begin together: each found the same room, as only what had been read was counted, and the entry was ended for
 * its memory.
 */
import { randomUUID } from 'node:crypto'
import { request } from 'node:http'
import { FleetSystem } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const model = 'base/a1'
const megabyte = 1024 * 1024
const memoryMb = 350
const rounds = 3
const deadlineMs = 5000

interface Upload {
  path: string
  bytes: number
  /** Whether the size of the body is stated. */
  sized: boolean
}

describe('request bodies that begin together at an entry', function () {
  this.timeout(60_000)
  const fleet = new FleetSystem({ network: 130, domains: 1, entriesPerDomain: 1, enginesPerDomain: 2, plainServersPerDomain: 2, adapterSlots: 4, loadMs: 80, workMs: 20, events: 4, eventMs: 10, memoryMb: { entry: memoryMb } })

  before(async () => await fleet.start())
  after(async () => await fleet.stop())

  /** Resolves to the status; 0 if the connection closes without a response. */
  const upload = async ({ path, bytes, sized }: Upload): Promise<number> => await new Promise(resolve => {
    const headers = { host: 'fleet.example', 'request-id': randomUUID(), 'deadline-ms': String(deadlineMs), model, ...(sized ? { 'content-length': bytes } : {}) }
    const sent = request({ ...fleet.callerAddress(0), agent: false, method: 'POST', path, headers }, response => {
      response.resume().on('close', () => resolve(response.statusCode ?? 0))
    })
    sent.on('error', () => resolve(0))
    sent.end(Buffer.alloc(bytes))
  })

  const together = async (count: number, each: Upload): Promise<number[]> => await Promise.all(Array.from({ length: count }, async () => await upload(each)))

  for (const { path, sized } of [{ path: '/again/x', sized: true }, { path: '/again/x', sized: false }, { path: '/stream/x', sized: true }, { path: '/stream/x', sized: false }]) {
    it(`do not exceed its memory (${path}, ${sized ? 'with' : 'without'} a stated size)`, async () => {
      const statuses: number[] = []
      for (let round = 0; round < rounds; round++) statuses.push(...await together(100, { path, sized, bytes: 4 * megabyte }))
      expect(fleet.unexpectedExits.splice(0)).to.deep.equal([])
      expect(fleet.entries[0]?.memory?.peakMb).to.be.within(1, memoryMb)
      expect(statuses).to.include(200)
      expect(statuses).to.include(503)
    })
  }

  // Large bodies that wait for room must not hold up those that need next to none.
  it('are not refused if they are small and come beside large ones', async () => {
    const large = together(60, { path: '/again/large', sized: true, bytes: 4 * megabyte })
    const small = await together(20, { path: '/stream/small', sized: true, bytes: 1000 })
    await large
    expect(small.filter(status => status === 200)).to.have.length(20)
  })

  it('are all served if they fit', async () => {
    expect(new Set(await together(15, { path: '/stream/x', sized: true, bytes: 4 * megabyte }))).to.deep.equal(new Set([200]))
  })
})
