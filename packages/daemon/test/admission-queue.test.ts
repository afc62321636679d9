import { RequestId, Revision, ServiceName, TeamName, type Work, type WorkClass } from '@finchpitch/core'
import { AdmissionQueue } from '@finchpitch/daemon'
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

describe('admission queue', () => {
  let time: FakeTime
  let queue: AdmissionQueue
  let served: string[]
  const signal = new AbortController().signal

  const serve = async (name: string, request: Work, ms = 100): Promise<void> => {
    const release = await queue.admit(request, Date.now() + request.patienceMs, signal)
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
    queue = new AdmissionQueue({ capacity: 1, maxQueued: 100, weightOf: team => team === 'heavy' ? 2 : 1 })
  })

  afterEach(() => time.restore())

  it('serves by class: desk, then caller, then batch', async () => {
    void serve('first', work('a', 'batch'))
    void serve('batch', work('a', 'batch'))
    void serve('caller', work('a', 'caller'))
    void serve('desk', work('a', 'desk'))
    await time.advance(1000)
    expect(served).to.deep.equal(['first', 'desk', 'caller', 'batch'])
  })

  it('ages batch requests, so that a steady stream of desk requests does not starve them', async () => {
    void serve('first', work('a', 'desk'))
    void serve('batch', work('a', 'batch', 3_600_000))
    for (let second = 0; second < 120; second++) {
      for (let request = 0; request < 11; request++) void serve('desk', work('a', 'desk', 3_600_000))
      await time.advance(1000)
    }
    expect(served).to.include('batch')
  })

  it('shares capacity between teams by weight, not by number of requests', async () => {
    for (let request = 0; request < 30; request++) void serve('flood', work('flood', 'caller'))
    for (let request = 0; request < 10; request++) void serve('heavy', work('heavy', 'caller'))
    await time.advance(1550)
    expect(served.filter(name => name === 'heavy')).to.have.length(10)
  })

  describe('a request that can not be served in time', () => {
    it('is refused at once, with a retry hint', async () => {
      for (let request = 0; request < 20; request++) void serve('x', work('a', 'caller'))
      const refusal = queue.overloadFailure(work('a', 'caller', 100))
      expect(refusal).to.include({ code: 'overloaded', outcome: 'not_run' })
      expect(refusal?.retryAfterMs).to.be.above(1000)
    })

    it('leaves the queue when its caller\'s time-out has passed', async () => {
      void serve('first', work('a', 'caller'), 5000)
      void serve('late', work('a', 'caller', 500))
      await time.advance(600)
      expect(served).to.deep.equal(['first', 'late overloaded'])
      expect(queue.waiting).to.equal(0)
    })
  })
})
