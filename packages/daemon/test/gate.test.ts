import { RequestId, Revision, ServiceName, TeamName, type Work, type WorkClass } from '@finchpitch/core'
import { Gate } from '@finchpitch/daemon'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const work = (team: string, workClass: WorkClass, patienceMs = 60_000): Work => ({
  id: RequestId.parse('r'),
  team: TeamName.parse(team),
  class: workClass,
  patienceMs,
  revision: Revision.parse(1),
  target: { kind: 'service', service: ServiceName.parse('ledger') },
  call: { method: 'PUT', path: '/', headers: {}, body: Buffer.alloc(0) }
})

describe('gate', () => {
  let time: FakeTime
  let gate: Gate
  let served: string[]
  const open = new AbortController().signal

  const serve = async (name: string, each: Work, ms = 100): Promise<void> => {
    const release = await gate.enter(each, Date.now() + each.patienceMs, open)
    if (release.isErr()) {
      served.push(`${name} ${release.error.code}`)
      return
    }
    served.push(name)
    setTimeout(release.value, ms)
  }

  beforeEach(() => {
    time = new FakeTime()
    served = []
    gate = new Gate({ capacity: 1, maxWaiting: 100, weightOf: team => team === 'heavy' ? 2 : 1 })
  })

  afterEach(() => time.restore())

  it('serves the desk before callers and callers before the batch', async () => {
    void serve('first', work('a', 'batch'))
    void serve('batch', work('a', 'batch'))
    void serve('caller', work('a', 'caller'))
    void serve('desk', work('a', 'desk'))
    await time.pass(1000)
    expect(served).to.deep.equal(['first', 'desk', 'caller', 'batch'])
  })

  it('ages the batch, so that a steady stream of desk work does not starve it', async () => {
    void serve('first', work('a', 'desk'))
    void serve('batch', work('a', 'batch', 3_600_000))
    for (let second = 0; second < 120; second++) {
      for (let each = 0; each < 11; each++) void serve('desk', work('a', 'desk', 3_600_000))
      await time.pass(1000)
    }
    expect(served).to.include('batch')
  })

  it('shares between teams by weight, whoever sends more', async () => {
    for (let each = 0; each < 30; each++) void serve('flood', work('flood', 'caller'))
    for (let each = 0; each < 10; each++) void serve('heavy', work('heavy', 'caller'))
    await time.pass(1550)
    expect(served.filter(name => name === 'heavy')).to.have.length(10)
  })

  describe('what can not be served in time', () => {
    it('is refused at once, with a time to come back', async () => {
      for (let each = 0; each < 20; each++) void serve('x', work('a', 'caller'))
      const refusal = gate.refusal(work('a', 'caller', 100))
      expect(refusal).to.include({ code: 'overloaded', outcome: 'not_run' })
      expect(refusal?.retryAfterMs).to.be.above(1000)
    })

    it('leaves the queue when its caller stops waiting', async () => {
      void serve('first', work('a', 'caller'), 5000)
      void serve('late', work('a', 'caller', 500))
      await time.pass(600)
      expect(served).to.deep.equal(['first', 'late overloaded'])
      expect(gate.waiting).to.equal(0)
    })
  })
})
