/*
 * Guards against work for callers that are gone: an entry that stalled sent on what it read afterwards, although the callers had
 * closed their connections meanwhile, and servers got requests over half a second after that.
 *
 * The entry is a real process, which is stopped to stall it. Its callers send and close while it stands still.
 */
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { pause } from '@finchpitch/core'
import { FleetSystem, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const settleMs = 2500
const stallMs = 1000
/** Time from a request to the end of its caller's connection. */
const patienceMs = 150
const callersPerCase = 30
const body = '{"ask":1}'
const workMs = 300

describe('callers that leave while their entry stalls', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let entry: Machine
  let sent = 0

  before(async () => {
    fleet = new FleetSystem({ network: 63, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 2, plainSlots: 2, adapterSlots: 3, loadMs: 60, workMs, events: 5, eventMs: 5 })
    await fleet.start()
    const [first] = fleet.entries
    if (first === undefined) throw new Error('there is an entry')
    entry = first
    await pause(settleMs)
  })

  after(async () => { await fleet.stop() })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
  })

  const head = (id: string): string => `POST /again/x HTTP/1.1\r\nhost: fleet.example\r\nrequest-id: ${id}\r\ndeadline-ms: 3000\r\ncontent-length: ${body.length}\r\n\r\n`
  const nextId = (): string => `left-${sent++}`

  const open = async (): Promise<Socket> => {
    const caller = connect(fleet.callerAddress())
    caller.on('error', () => {})
    await once(caller, 'connect')
    return caller
  }

  const ranOf = (ids: readonly string[]): string[] => fleet.plainServers.flatMap(server => server.arrivals).map(({ id }) => id).filter(id => ids.includes(id))

  /** Stops the entry for `stallMs`, in which callers act. */
  const stall = async (during: () => Promise<void>): Promise<void> => {
    entry.process?.kill('SIGSTOP')
    const acted = during()
    await pause(stallMs)
    await acted
    entry.process?.kill('SIGCONT')
  }

  /** Sends `parts` of each caller's request, and then closes its connection. */
  const sendAndLeave = async (callers: readonly Socket[], parts: readonly string[], leave: (caller: Socket) => void): Promise<void> => {
    callers.forEach((caller, index) => caller.write(parts[index] ?? ''))
    await pause(patienceMs)
    callers.forEach(leave)
  }

  const newIds = (): string[] => Array.from({ length: callersPerCase }, nextId)
  const openAll = async (): Promise<Socket[]> => await Promise.all(Array.from({ length: callersPerCase }, open))

  /** Resolves once the entry has read all connections: a request that was sent last has been answered. */
  const untilRead = async (): Promise<void> => {
    const id = nextId()
    const last = await open()
    last.write(head(id) + body)
    await eventually('the entry answers a later request', () => entry.output.some(line => line.includes('request.ended') && line.includes(`"${id}"`)), 10_000)
    last.destroy()
  }

  const ways: Record<string, (caller: Socket) => void> = {
    'close their connections': caller => caller.destroy(),
    'reset their connections': caller => caller.resetAndDestroy()
  }

  for (const [way, leave] of Object.entries(ways)) {
    describe(`and ${way}`, () => {
      it('have no request sent that they made meanwhile on a new connection', async () => {
        const ids = newIds()
        await stall(async () => await sendAndLeave(await openAll(), ids.map(id => head(id) + body), leave))
        await untilRead()
        expect(ranOf(ids)).to.deep.equal([])
      })

      it('have no request sent that they made meanwhile on an open connection', async () => {
        const ids = newIds()
        const callers = await openAll()
        await pause(100)
        await stall(async () => await sendAndLeave(callers, ids.map(id => head(id) + body), leave))
        await untilRead()
        expect(ranOf(ids)).to.deep.equal([])
      })

      it('have no request sent whose body they finished meanwhile', async () => {
        const ids = newIds()
        const callers = await openAll()
        callers.forEach((caller, index) => caller.write(head(ids[index] ?? '')))
        await pause(100)
        await stall(async () => await sendAndLeave(callers, ids.map(() => body), leave))
        await untilRead()
        expect(ranOf(ids)).to.deep.equal([])
      })

      it('have no request sent that had waited at the entry before', async () => {
        const ids = newIds()
        const callers = await openAll()
        callers.forEach((caller, index) => caller.write(head(ids[index] ?? '') + body))
        await pause(100)
        const before = ranOf(ids)
        expect(before.length).to.be.lessThan(callersPerCase)
        await stall(async () => await sendAndLeave(callers, [], leave))
        await untilRead()
        expect(ranOf(ids)).to.have.members(before)
      })
    })
  }
})
