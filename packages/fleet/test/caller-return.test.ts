/*
 * Guards against returning callers that operators can't see: of 2,056 requests of returning callers 688 were served in a flood, and how
 * many of these callers had waited as they were told was not known.
 */
import { CallerReturn, EntryCounters, FirstAttemptEstimator, RequestTimes, type CallerReturnOptions } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const timeoutMs = 1000

describe('the return of a caller', () => {
  let time: FakeTime
  let options: CallerReturnOptions
  let busy: boolean
  let overQuota: boolean

  beforeEach(() => {
    time = new FakeTime()
    busy = overQuota = false
    options = {
      firstAttempts: new FirstAttemptEstimator(),
      plainServices: { isEnforced: () => busy },
      quotas: { accounts: { get: () => ({ isOverQuota: overQuota }) } },
      counters: new EntryCounters()
    } as unknown as CallerReturnOptions
    for (let each = 0; each < 20; each++) send(timeoutMs, 'streamed')
  })
  afterEach(() => time.restore())

  /** Sends a request that states `remainingMs`. Returns the time since its caller's first attempt. */
  const send = (remainingMs: number, outcome: string, toldMs?: number): number => {
    const times = new RequestTimes()
    times.statedMs = remainingMs
    const callerReturn = new CallerReturn(options, times)
    callerReturn.recognize({ route: { name: 'r' }, team: { name: 'red' } } as never, 'plain')
    callerReturn.end(outcome, toldMs)
    return times.firstTriedMs
  }
  const counted = async (): Promise<string[]> =>
    (await options.counters.registry.metrics()).split('\n').filter(line => line.startsWith('finchpitch_returning_requests_total{')).sort()

  it('is counted by how it ended, and by whether its caller waited as told or only a third of its time', async () => {
    send(timeoutMs, 'refused', 200)
    send(timeoutMs, 'refused', 5000)
    time.advanceSync(200)
    send(timeoutMs - 200, 'streamed')
    send(timeoutMs - 200, 'answered 200')
    send(timeoutMs - 200, 'refused', 250)
    time.advanceSync(140)
    send(timeoutMs - 340, 'over_quota', 250)
    send(timeoutMs - 340, 'answered 500')
    expect(await counted()).to.deep.equal([
      'finchpitch_returning_requests_total{service="plain",told="early",outcome="failed"} 1',
      'finchpitch_returning_requests_total{service="plain",told="early",outcome="rejected"} 1',
      'finchpitch_returning_requests_total{service="plain",told="kept",outcome="rejected"} 1',
      'finchpitch_returning_requests_total{service="plain",told="kept",outcome="served"} 2'
    ])
  })

  it('is not counted for first attempts, whatever happens to other callers', async () => {
    send(timeoutMs, 'refused', 200)
    time.advanceSync(200)
    send(timeoutMs, 'streamed')
    expect(await counted()).to.deep.equal([])
  })

  it('is known after a failure, and while other entries find the service busy or the team over its quota', () => {
    expect(send(timeoutMs - 200, 'streamed')).to.equal(0)
    busy = true
    expect(send(timeoutMs - 300, 'streamed')).to.equal(300)
    busy = false
    overQuota = true
    expect(send(timeoutMs - 300, 'streamed')).to.equal(300)
    overQuota = false
    time.advanceSync(5000)
    send(timeoutMs, 'answered 502')
    time.advanceSync(200)
    expect(send(timeoutMs - 200, 'streamed')).to.equal(200)
  })
})
