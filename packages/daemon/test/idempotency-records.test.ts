import { Incarnation, RequestId, RequestKey, Revision, ServiceName, TeamName, Address, ProcessId, notRun, type HttpResponse, type Failure, type Work } from '@finchpitch/core'
import { IdempotencyRecords, defaultIdempotencyLimits } from '@finchpitch/daemon'
import { expect } from 'chai'
import { ok, err, type Result } from 'neverthrow'

const incarnation = Incarnation.parse('abcdefghijklmnop')
type Once = NonNullable<Work['once']>

const once = (nonce: string, epoch = 0, boundTo = incarnation): Once => ({
  key: RequestKey.parse('key'),
  binding: { process: ProcessId.parse('side'), address: Address.parse('127.0.0.1:1'), incarnation: boundTo, epoch, nonce }
})

const work = (body = 'a'): Work => ({
  id: RequestId.parse('r'),
  team: TeamName.parse('quetzal'),
  class: 'desk',
  patienceMs: 1000,
  revision: Revision.parse(1),
  target: { kind: 'service', service: ServiceName.parse('ledger') },
  call: { method: 'PUT', path: '/', headers: {}, body: Buffer.from(body) }
})

const response = (...chunks: string[]): HttpResponse => ({
  status: 200,
  headers: {},
  body: (async function * () { for (const chunk of chunks) yield Buffer.from(chunk) })()
})

const read = async (result: Result<HttpResponse, Failure>): Promise<string> => {
  if (result.isErr()) return `${result.error.outcome} ${result.error.code}`
  let text = ''
  try {
    for await (const chunk of result.value.body) text += Buffer.from(chunk).toString()
  } catch {
    return `${text}|broken`
  }
  return text
}

describe('idempotency records', () => {
  let records: IdempotencyRecords
  let starts: number
  const start = async (): Promise<Result<HttpResponse, Failure>> => {
    starts += 1
    return ok(response('whole ', 'answer'))
  }

  beforeEach(() => {
    records = new IdempotencyRecords({ incarnation, ...defaultIdempotencyLimits })
    starts = 0
  })

  it('run a binding once for concurrent and later attempts', async () => {
    const attempts = await Promise.all([1, 2, 3].map(async () => await read(await records.run(work(), once('n'), start))))
    attempts.push(await read(await records.run(work(), once('n'), start)))
    expect(new Set(attempts)).to.deep.equal(new Set(['whole answer']))
    expect(starts).to.equal(1)
  })

  it('remember a refusal, and run a new binding of the same key', async () => {
    const refuse = async (): Promise<Result<HttpResponse, Failure>> => err(notRun('leaving'))
    expect(await read(await records.run(work(), once('a'), refuse))).to.equal('not_run leaving')
    expect(await read(await records.run(work(), once('a'), start))).to.equal('not_run leaving')
    expect(await read(await records.run(work(), once('b'), start))).to.equal('whole answer')
  })

  it('refuse a different request with the same binding', async () => {
    await records.run(work('a'), once('n'), start)
    expect(await read(await records.run(work('b'), once('n'), start))).to.equal('not_run key_reused')
  })

  it('keep equal nonces of different teams apart', async () => {
    await records.run(work(), once('n'), start)
    await records.run({ ...work(), team: TeamName.parse('fjordtavle') }, once('n'), start)
    expect(starts).to.equal(2)
  })

  it('never run a request that is bound to another incarnation', async () => {
    const other = Incarnation.parse('ponmlkjihgfedcba')
    expect(await read(await records.run(work(), once('n', 0, other), start))).to.equal('unknown incarnation_gone')
    expect(starts).to.equal(0)
  })

  describe('epochs', () => {
    it('keep a response through the next epoch, and refuse the key after that without running it', async () => {
      await records.run(work(), once('n'), start)
      records.advanceEpoch()
      expect(await read(await records.run(work(), once('n'), start))).to.equal('whole answer')
      records.advanceEpoch()
      expect(await read(await records.run(work(), once('n'), start))).to.equal('unknown answer_expired')
      expect([starts, records.size, records.keptBytes]).to.deep.equal([1, 0, 0])
    })
  })

  describe('limits', () => {
    it('report an unknown outcome, not a refusal, when no more keys can be remembered', async () => {
      records = new IdempotencyRecords({ incarnation, ...defaultIdempotencyLimits, maxKeys: 1 })
      await records.run(work(), once('a'), start)
      expect(await read(await records.run(work(), once('b'), start))).to.equal('unknown keys_full')
    })

    it('stream a long response completely to its first reader and keep it for no other', async () => {
      records = new IdempotencyRecords({ incarnation, ...defaultIdempotencyLimits, maxResponseBytes: 10 })
      const long = async (): Promise<Result<HttpResponse, Failure>> => ok(response('12345678', '12345678', '12345678', 'end'))
      expect(await read(await records.run(work(), once('n'), long))).to.equal('123456781234567812345678end')
      expect(await read(await records.run(work(), once('n'), long))).to.equal('unknown answer_expired')
    })

    it('discard the oldest kept responses first', async () => {
      records = new IdempotencyRecords({ incarnation, ...defaultIdempotencyLimits, maxKeptBytes: 20 })
      for (const nonce of ['a', 'b']) await read(await records.run(work(), once(nonce), start))
      expect(await read(await records.run(work(), once('a'), start))).to.equal('unknown answer_expired')
      expect(await read(await records.run(work(), once('b'), start))).to.equal('whole answer')
      expect(records.keptBytes).to.be.at.most(20)
    })
  })
})
