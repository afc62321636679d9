/*
 * Guards against heads far above the limit of the routing table: an entry read up to 64 kB of each, and was ended by its runtime when
 * 3,900 connections held such heads (SIGABRT, "Reached heap limit").
 */
import { expect } from 'chai'
import { SingleEntry, statusOf } from './single-entry.js'

/** The routing table of `SingleEntry` limits heads to 10 kB. */
const sizes = { within: 9000, above: 20_000 }

describe('heads of requests', () => {
  let entry: SingleEntry

  beforeEach(async () => {
    entry = new SingleEntry()
    await entry.start()
    await entry.addServer('a', (socket, id) => { socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-length: 2\r\n\r\nok`) })
  })

  afterEach(() => entry.stop())

  it('are refused if they exceed the limit of the routing table', async () => {
    expect(statusOf(await entry.send('/plain/x', { headers: { pad: 'x'.repeat(sizes.above) } }))).to.equal(431)
  })

  it('are read up to that limit', async () => {
    expect(statusOf(await entry.send('/plain/x', { headers: { pad: 'x'.repeat(sizes.within) } }))).to.equal(200)
  })
})
