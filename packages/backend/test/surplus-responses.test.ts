/*
 * Guards against late second copies of an engine's responses that are taken for the response to a later generation: its caller got the
 * text of another request, or was told that it had not run.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { pause } from '@finchpitch/core'
import { HttpEngine, type GenerationRequest } from '@finchpitch/backend'
import { expect } from 'chai'

/** The pool reuses a connection once it has seen the end of the response. */
const idleMs = 50

const response = (status: string, id: string, body: string): string =>
  `HTTP/1.1 ${status}\r\nx-request-id: ${id}\r\nx-engine-boot: b\r\ncontent-length: ${body.length}\r\n\r\n${body}`

describe('a late second copy of an engine\'s response', () => {
  let server: Server
  let sockets: Socket[]
  let engine: HttpEngine

  /** `first`: the status of the first response on a connection; its copy precedes the second one. */
  const start = async (first: string): Promise<void> => {
    sockets = []
    let runs = 0
    server = createServer(socket => {
      sockets.push(socket)
      let copy = ''
      socket.on('error', () => {})
      socket.on('data', chunk => {
        const id = /x-request-id: (\S+)/i.exec(chunk.toString())?.[1] ?? ''
        const isFirst = runs === 0
        const own = response(isFirst ? first : '200 OK', id, `run ${++runs}`)
        socket.write(copy + own)
        copy = isFirst ? own : ''
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    engine = new HttpEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  afterEach(async () => {
    await engine.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  const generate = async (id: string): Promise<string> => {
    const call = { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('{}') }
    const result = await engine.generate({ id, label: 'l', call, priority: 0, salt: 't', fence: 1, signal: new AbortController().signal } as unknown as GenerationRequest)
    if (result.isErr()) {
      await pause(idleMs)
      return result.error.code
    }
    let text = ''
    for await (const chunk of result.value.body) text += Buffer.from(chunk).toString()
    await pause(idleMs)
    return text
  }

  it('is not delivered to another request', async () => {
    await start('200 OK')
    expect([await generate('a'), await generate('b')]).to.deep.equal(['run 1', 'lost'])
  })

  it('is not taken for the refusal of another request, which runs', async () => {
    await start('503 Service Unavailable')
    expect([await generate('a'), await generate('b')]).to.deep.equal(['busy', 'lost'])
  })

  it('is not taken for the refusal of the same request when that is sent again', async () => {
    await start('503 Service Unavailable')
    expect([await generate('a'), await generate('a')]).to.deep.equal(['busy', 'run 2'])
  })
})
