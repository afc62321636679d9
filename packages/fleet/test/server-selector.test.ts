import { Cancellation, EntryCounters, RequestQueue, RequestTimes, ServerSelector, nowMs, type Choice, type ServerSelection, type SelectedRequest, type ServerSelectorOptions } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

type Choose = ServerSelector['choose']

describe('selection of a server for a request whose service has none', () => {
  const objectiveMs = 150
  const none: Choice = { type: 'none', reason: 'no server of the service' }
  const send: Choice = { type: 'send', id: 's', reason: 'free', expectedMs: 0 }
  let time: FakeTime
  let queue: RequestQueue
  let choice: Choice
  let serversRead: boolean

  beforeEach(() => {
    time = new FakeTime()
    queue = new RequestQueue()
    choice = none
    serversRead = false
  })

  afterEach(() => time.restore())

  const select = async (): Promise<{ selection: ServerSelection, ms: number }> => {
    const from = nowMs()
    const times = new RequestTimes()
    times.deadline = from + 1000
    const options = {
      facts: { get complete () { return { table: 1, server: serversRead ? 1 : 0, version: 0 } }, sight: 'reading', eligibleServers: () => [] },
      balancer: { awaitRateLimit: async () => undefined, choose: () => choice, prefillMs: () => 0 },
      queue,
      plainServices: { recordDemand: () => {}, enterQueue: () => () => {}, isEnforced: () => false, take: () => undefined },
      counters: new EntryCounters()
    } as unknown as ServerSelectorOptions
    const selected = {
      times,
      record: { waitedMs: 0 },
      crashes: { quarantine: () => undefined },
      cancellation: new Cancellation(),
      latestStart: () => Infinity
    } as unknown as SelectedRequest
    const request = { service: { name: 'ledger' }, promptTokens: 0, excluded: new Set() } as unknown as Parameters<Choose>[0]
    const admitted = { type: 'admitted', route: { objectiveMs }, priority: 2 } as unknown as Parameters<Choose>[1]
    const selection = await time.runUntilSettled(new ServerSelector(options, selected).choose(request, admitted))
    return { selection, ms: nowMs() - from }
  }

  it('ends soon if the list of servers has been read', async () => {
    serversRead = true
    const { selection, ms } = await select()
    expect([selection.type, ms]).to.deep.equal(['no_server', 0.2 * objectiveMs])
  })

  // On an overloaded machine, an entry that had just started refused requests for 0.1 s and more, as it had read its table only.
  it('waits for servers that the entry has not read yet since it started', async () => {
    setTimeout(() => {
      choice = send
      queue.scheduleScan()
    }, 200)
    const { selection, ms } = await select()
    expect([selection.type, ms]).to.deep.equal(['chosen', 212])
  })

  it('ends while its caller can still retry if the entry reads no servers', async () => {
    const { selection, ms } = await select()
    expect([selection.type, ms]).to.deep.equal(['no_server', 450])
  })
})
