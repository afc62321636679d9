import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { ReadTurns } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const pieceMs = 8
const turnMs = 20

describe('work that waits until the sockets have been read', () => {
  let time: FakeTime
  let turns: ReadTurns

  beforeEach(() => {
    time = new FakeTime()
    turns = new ReadTurns()
  })

  afterEach(() => time.restore())

  /** Work that takes `pieceMs`, after which `log` has its name. */
  const work = async (name: string, stage: 'new' | 'under_way', log: string[]): Promise<void> => {
    await turns.next(stage)
    time.advanceSync(pieceMs)
    log.push(name)
  }

  it('is done in turns of 20 ms, with a poll of the sockets between them', async () => {
    const log: string[] = []
    const all = Array.from({ length: 7 }, async (_, index) => await work(String(index), 'new', log))
    // A poll of the sockets lies between two immediates that follow one another.
    const polls = (async () => {
      while (log.length < all.length) {
        await new Promise(resolve => setImmediate(resolve))
        if (log.at(-1) !== 'poll' && log.length < all.length + 3) log.push('poll')
      }
    })()
    await Promise.all([...all, polls])
    const perTurn = log.join(' ').split('poll').map(turn => turn.trim()).filter(turn => turn !== '')
    expect(perTurn).to.deep.equal(['0 1 2', '3 4 5', '6'])
  })

  it('goes on at once within a turn', async () => {
    await turns.next('new')
    expect(turns.isOpen).to.equal(true)
    time.advanceSync(turnMs)
    expect(turns.isOpen).to.equal(false)
  })

  it('of requests under way goes before that of new ones', async () => {
    const log: string[] = []
    await Promise.all([work('new', 'new', log), work('under way', 'under_way', log)])
    expect(log).to.deep.equal(['under way', 'new'])
  })

  it('goes on although each poll takes longer than a turn', async () => {
    const log: string[] = []
    const slow = setInterval(() => {}, 1)
    const all = Array.from({ length: 4 }, async (_, index) => await work(String(index), 'new', log))
    const polls = (async () => {
      while (log.length < all.length) {
        time.advanceSync(10 * turnMs)
        await new Promise(resolve => setImmediate(resolve))
      }
    })()
    await Promise.all([...all, polls])
    clearInterval(slow)
    expect(log).to.have.members(['0', '1', '2', '3'])
  })

  // The close was read in the turn after that in which the request was.
  it('finds that a connection has been closed whose data was read before', async () => {
    const server = createServer({ allowHalfOpen: true })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    let ended: boolean | undefined
    const accepted = once(server, 'connection') as Promise<[Socket]>
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [socket] = await accepted
    const checked = new Promise<void>(resolve => socket.once('data', () => {
      void turns.next('new').then(() => {
        ended = socket.readableEnded
        resolve()
      })
    }))
    caller.end('request')
    await checked
    expect(ended).to.equal(true)
    socket.destroy()
    server.close()
  })
})
