/*
 * Guards against requests that a starting entry refused with `no_table` although it read the routing table shortly after. They were
 * held only until 0.5 s after the start, and on an overloaded machine reading the table takes longer.
 */
import { silentLog } from '@finchpitch/core'
import { Facts, TableWait, nowMs, type RoutingTable } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const remainingMs = 1000
/** The part of its remaining time for which a request may wait. */
const maxWaitMs = 450
const table: RoutingTable = { version: 1, routes: [], services: [], teams: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }

describe('a request that reaches an entry before its routing table', () => {
  let time: FakeTime
  let facts: Facts
  let wait: TableWait

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
    wait = new TableWait({ facts, lease: { held: true } })
  })

  afterEach(() => time.restore())

  const readTable = (): void => { facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store') }

  /** How long a request that arrives now is held. */
  const heldMs = async (): Promise<number> => {
    const arrivedAt = nowMs()
    let endedAt = arrivedAt
    await time.runUntilSettled(wait.untilLoaded(remainingMs).then(() => { endedAt = nowMs() }))
    return endedAt - arrivedAt
  }

  it('is held until the table has been read, also over 0.5 s after the start', async () => {
    await time.advance(1000)
    setTimeout(readTable, 300)
    expect(await heldMs()).to.equal(300)
    expect(await heldMs()).to.equal(0)
  })

  it('is held for no longer than for a server', async () => {
    await time.advance(1000)
    expect(await heldMs()).to.equal(maxWaitMs)
    expect(wait.retryMs).to.equal(2000)
  })

  it('reads a table that waits in a socket after this process stalled', async () => {
    await time.advance(1000)
    const held = wait.untilLoaded(remainingMs)
    time.advanceSync(remainingMs)
    setImmediate(readTable)
    await held
    expect(facts.routes).to.not.equal(undefined)
  })

  describe('while the store does not answer', () => {
    it('is held until 0.5 s after the start', async () => {
      facts.setSight('blind')
      await time.advance(400)
      expect(await heldMs()).to.equal(100)
      expect(await heldMs()).to.equal(0)
    })

    it('is held no longer once that is known', async () => {
      await time.advance(1000)
      setTimeout(() => facts.setSight('blind'), 200)
      expect(await heldMs()).to.equal(200)
    })
  })
})
