import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { ServerLiveness, type BackendServer } from '@finchpitch/fleet'
import { expect } from 'chai'

const serverAt = (address: string): BackendServer => ({ id: 'i', service: 's', address, domain: 'a', slots: 1, leaving: false, models: [] })

describe('probe whether a server has crashed', () => {
  let listener: Server
  let server: BackendServer

  beforeEach(async () => {
    listener = createServer(socket => { socket.on('error', () => {}) })
    listener.listen(0, '127.0.0.1')
    await once(listener, 'listening')
    server = serverAt(`127.0.0.1:${(listener.address() as AddressInfo).port}`)
  })

  afterEach(() => { listener.close() })

  it('returns false while the address accepts connections', async () => {
    expect(await new ServerLiveness().ended(server)).to.equal(false)
  })

  it('returns true if the address refuses connections', async () => {
    listener.close()
    await once(listener, 'close')
    expect(await new ServerLiveness().ended(server)).to.equal(true)
  })

  it('probes once for all attempts that failed at the same time, and again later', async () => {
    let probes = 0
    const liveness = new ServerLiveness(async () => {
      probes += 1
      return true
    })
    expect(await Promise.all([liveness.ended(server), liveness.ended(server), liveness.ended(server)])).to.deep.equal([true, true, true])
    expect(probes).to.equal(1)
    await liveness.ended(server)
    expect(probes).to.equal(2)
  })
})
