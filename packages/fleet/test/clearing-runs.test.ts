/*
 * Guards against a part of prompts that crashes servers and is cleared by a run in which the server wrote nothing on it.
 */
import { pause } from '@finchpitch/core'
import { expect } from 'chai'
import type { Server, Socket } from 'node:net'
import { SingleEntry, statusOf } from './single-entry.js'

const servers = 6
const event = 'id: 1\ndata: 1\n\n'
const head = (id: string, status: number, length: number): string =>
  `HTTP/1.1 ${status} X\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\ncontent-length: ${length}\r\n\r\n`
/** Longer than it takes to find that a server has crashed. */
const crashCheckMs = 50

describe('a run of a request with a part that crashes servers', () => {
  let entry: SingleEntry
  let respond: (socket: Socket, id: string) => void
  let count = 0

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
    for (let each = 0; each < servers; each++) {
      const server: Server = await entry.addServer(`s${each}`, (socket, id) => {
        if (!id.startsWith('bad')) return respond(socket, id)
        server.close()
        socket.destroy()
      })
    }
  })

  afterEach(async () => await entry.stop())

  /** Sends a request that is like no other, but for the part. */
  const send = async (kind: string, path: string): Promise<number> => {
    count += 1
    const result = await entry.send(`${path}?${count}`, { id: `${kind}-${count}`, headers: { 'prompt-prefix': `bad0:10,${count.toString(16)}:1` } })
    await pause(crashCheckMs)
    return statusOf(result)
  }

  const crashes = (): number => new Set(entry.linesOf('request.broke_off').filter(({ ended }) => ended === true).map(({ server }) => server)).size

  /** Crashes two servers, completes the run, crashes another one and tries once more. Returns how many crashed. */
  const crashesAround = async (path: string): Promise<number> => {
    for (let each = 0; each < 2; each++) await send('bad', path)
    expect(crashes()).to.equal(2)
    await send('other', path)
    for (let each = 0; each < 2; each++) await send('bad', path)
    return crashes()
  }

  it('clears the part if it wrote an answer', async () => {
    respond = (socket, id) => socket.end(`${head(id, 200, event.length)}${event}`)
    expect(await crashesAround('/stream/x')).to.equal(4)
  })

  it('does not go on at another server within one response once the part is recognized', async () => {
    for (let each = 0; each < 4; each++) await send('bad', '/resume/x')
    expect(crashes()).to.equal(3)
  })

  const cases: Array<[string, string, (socket: Socket, id: string) => void]> = [
    ['its stream was empty', '/stream/x', (socket, id) => socket.end(head(id, 200, 0))],
    ['its body was empty', '/plain/x', (socket, id) => socket.end(head(id, 200, 0))],
    ['the server answered 400', '/plain/x', (socket, id) => socket.end(`${head(id, 400, 2)}no`)],
    ['the server answered 500', '/plain/x', (socket, id) => socket.end(`${head(id, 500, 2)}no`)],
    ['it was cut off', '/stream/x', (socket, id) => socket.end(`${head(id, 200, event.length + 1)}${event}`)],
    ['it ended within an event', '/stream/x', (socket, id) => socket.end(`${head(id, 200, event.length + 4)}${event}id: `)]
  ]
  for (const [title, path, answer] of cases) {
    it(`does not clear the part if ${title}`, async () => {
      respond = answer
      expect(await crashesAround(path)).to.equal(3)
    })
  }
})
