/*
 * Guards against answers of the store that were broken off before their body, and threw instead of being an error.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { HttpStore } from '@finchpitch/store'
import { expect } from 'chai'

describe('an answer of the store without a body', () => {
  let server: Server
  let store: HttpStore

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { socket.end('HTTP/1.1 200 OK\r\n\r\n') })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    store = new HttpStore(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  })

  afterEach(async () => {
    await store.close()
    server.close()
  })

  it('is no object and no list', async () => {
    expect((await store.get('a'))._unsafeUnwrapErr()).to.include({ code: 'unavailable' })
    expect((await store.list('a'))._unsafeUnwrapErr()).to.include({ code: 'unavailable' })
  })

  it('leaves open whether a write was done', async () => {
    expect((await store.put('a', 1, 'absent'))._unsafeUnwrapErr()).to.include({ code: 'ambiguous' })
  })
})
