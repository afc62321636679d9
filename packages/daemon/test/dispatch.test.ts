import { Address, Incarnation, ModelName, ProcessId, RequestId, RequestKey, Revision, ServiceName, TeamName, notRun, quietLog, unknown, type Answer, type Failure, type Work } from '@finchpitch/core'
import { Dispatch, type SidePeer, type Sides } from '@finchpitch/daemon'
import { Catalog, Claims } from '@finchpitch/store'
import { FakeTime, MemoryStore } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'

const work: Work = {
  id: RequestId.parse('r'),
  team: TeamName.parse('quetzal'),
  class: 'desk',
  patienceMs: 10_000,
  revision: Revision.parse(1),
  target: { kind: 'service', service: ServiceName.parse('ledger') },
  call: { method: 'PUT', path: '/', headers: {}, body: Buffer.from('x') }
}
const once = { key: RequestKey.parse('key'), firstTry: false }
const answer: Answer = { status: 200, headers: {}, body: (async function * () { yield Buffer.from('whole') })() }

describe('dispatch', () => {
  let time: FakeTime
  let store: MemoryStore
  let dispatch: Dispatch
  /** What the side process tells each ask in turn. */
  let replies: Array<Result<Answer, Failure>>
  let asked: number
  /** What side processes were preferred by. */
  let keys: string[]
  const open = new AbortController().signal

  beforeEach(() => {
    time = new FakeTime()
    store = new MemoryStore()
    asked = 0
    keys = []
    const run = async (): Promise<Result<Answer, Failure>> => replies[asked++] ?? err(unknown('connection_lost'))
    const peer = { run, incarnation: Incarnation.parse('abcdefghijklmnop'), epoch: 0 } as unknown as SidePeer
    const chosen = { process: ProcessId.parse('side'), address: Address.parse('127.0.0.1:1'), peer }
    const choose = async (_serving: unknown, key: string): Promise<typeof chosen> => {
      keys.push(key)
      return chosen
    }
    const sides = { choose, reach: async () => peer } as unknown as Sides
    const claims = new Claims({ store, random: () => 0.5, buckets: 1, keptMs: 60_000 })
    dispatch = new Dispatch({ sides, claims, catalog: new Catalog('all'), catchUp: async () => {}, log: quietLog, random: () => 0.5 })
  })

  afterEach(() => time.restore())

  const told = async (result: Promise<Result<Answer, Failure>>): Promise<string> => {
    const ended = await time.until(result)
    return ended.isOk() ? 'ran' : `${ended.error.outcome} ${ended.error.code}`
  }

  describe('with a key', () => {
    it('binds it anew after a refusal', async () => {
      replies = [err(notRun('leaving')), ok(answer)]
      expect(await told(dispatch.runOnce(work, once, open))).to.equal('ran')
      expect(store.calls.writes).to.equal(2)
    })

    it('does not take an ask that was not sent for a refusal', async () => {
      replies = [err(unknown('connection_lost')), err(notRun('not_sent')), ok(answer)]
      expect(await told(dispatch.runOnce(work, once, open))).to.equal('ran')
      expect(store.calls.writes).to.equal(1)
    })

    it('is unknown when it could be sent no more after it may have arrived', async () => {
      replies = [err(unknown('connection_lost')), ...Array.from({ length: 5 }, () => err(notRun('not_sent')))]
      expect(await told(dispatch.runOnce(work, once, open))).to.equal('unknown connection_lost')
    })

    it('is told as not run only while the refused binding is in place', async () => {
      replies = [err(notRun('key_reused'))]
      expect(await told(dispatch.runOnce(work, once, open))).to.equal('not_run key_reused')
      store.down = true
      replies = [err(notRun('key_reused'))]
      asked = 0
      expect(await told(dispatch.runOnce(work, once, open))).to.equal('unknown store_unavailable')
    })
  })

  describe('without a key', () => {
    it('goes on after an unknown end only where it may be repeated', async () => {
      replies = [err(unknown('connection_lost')), ok(answer)]
      expect(await told(dispatch.run(work, true, open))).to.equal('ran')
      asked = 0
      expect(await told(dispatch.run(work, false, open))).to.equal('unknown connection_lost')
    })

    it('goes on after a proved refusal in any case', async () => {
      replies = [err(notRun('leaving')), ok(answer)]
      expect(await told(dispatch.run(work, false, open))).to.equal('ran')
    })
  })

  it('spreads a service over many lists and keeps an adapter to one', async () => {
    const target = { kind: 'adapter', team: work.team, adapter: 'a', version: 'v1', model: ModelName.parse('base-7b'), source: 's' } as Work['target']
    for (const id of ['a', 'b', 'c']) await dispatch.ticket({ ...work, id: RequestId.parse(id) })
    expect(new Set(keys).size).to.equal(3)
    keys = []
    for (const id of ['a', 'b', 'c']) await dispatch.ticket({ target, id: RequestId.parse(id) })
    expect(new Set(keys).size).to.equal(1)
  })

  it('issues tickets that name the incarnation', async () => {
    expect(await dispatch.ticket(work)).to.match(/^tk1\/side\/abcdefghijklmnop\/0\//)
  })
})
