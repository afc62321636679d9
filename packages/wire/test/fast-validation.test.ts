import { Frame, maxUsesPerFrame, passesFastValidation } from '@finchpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'

const count = fc.oneof(fc.nat(), fc.nat(), fc.constantFrom(-1, 1.5, NaN, Infinity, 2 ** 60, '3', null))
const flag = fc.oneof(fc.boolean(), fc.boolean(), fc.constantFrom(0, null, 'true'))
const key = fc.oneof(fc.string(), fc.string(), fc.constantFrom('x'.repeat(500), 'x'.repeat(501)))
const keys = fc.oneof(fc.array(key, { maxLength: 3 }), fc.constantFrom('m/a', [1], {}, null))
const versions = fc.oneof(fc.dictionary(key, fc.oneof(fc.nat(), fc.nat(), fc.constantFrom(NaN, Infinity, '1', null)), { maxKeys: 3 }), fc.constantFrom([], [1], 'm/a', null, new Map([['m/a', 1]])))

/** Valid and invalid frames; the generators below likewise mix valid and invalid values. */
const holdings = fc.record({
  type: fc.constantFrom('holding', 'holding', 'holding', 'fact'),
  host: fc.constantFrom('10.0.0.1', '10.0.0.1', 'x'.repeat(64), 'x'.repeat(65), 7),
  whole: flag,
  reachable: flag,
  server: fc.constantFrom('s', null, 's', 4),
  came: versions,
  went: keys,
  coming: keys,
  lost: flag,
  warm: fc.constantFrom([['m/a', 1]], [], 'm/a'),
  waiting: count,
  running: count,
  unread: count,
  room: count,
  slotMs: count,
  prefillMs: count,
  tokenMs: count,
  entries: count,
  strangers: count,
  fence: count,
  other: fc.anything()
}, { requiredKeys: [] })

const uses = fc.record({
  type: fc.constantFrom('uses', 'uses', 'holding'),
  uses: fc.oneof(fc.array(fc.tuple(key, count, count), { maxLength: 3 }), fc.constantFrom([['m/a', 1]], [['m/a', 1, 1, 1]], [[1, 1, 1]], null, Array.from({ length: maxUsesPerFrame + 1 }, () => ['m/a', 1, 1]))),
  unread: count,
  pace: fc.oneof(fc.tuple(count, count, count, count), fc.constantFrom([1, 1], null))
}, { requiredKeys: [] })

const heartbeats = fc.record({
  type: fc.constantFrom('heartbeat', 'heartbeat', 'uses'),
  revision: count,
  complete: fc.oneof(fc.record({ table: count, server: count, version: count }, { requiredKeys: ['table'] }), fc.constantFrom(null, [], { table: 0.5, server: 0, version: 1, other: 1 })),
  sight: fc.constantFrom('reading', 'blind', 'resting', 'resting', 'asleep', null),
  load: fc.constantFrom({}, null)
}, { requiredKeys: [] })

const nonNegative = fc.oneof(fc.nat(), fc.double(), fc.constantFrom(0, 2.5, -1, NaN, Infinity, '3', null))
const name = fc.oneof(fc.string(), fc.constantFrom('red', 'x'.repeat(200), 'x'.repeat(201), 5))
const agedTokens = fc.oneof(fc.array(fc.tuple(name, nonNegative, nonNegative), { maxLength: 3 }), fc.constantFrom([['red', 1]], [[1, 1, 1]], null, {}))

const mixedFrames = fc.record({
  type: fc.constantFrom('fact', 'want', 'declined', 'arrived', 'caught_up', 'ask_fresh', 'fresh', 'quota', 'quota_grant'),
  key,
  kind: fc.constantFrom('table', 'server', 'version', 'version', 'other', null),
  seenAt: nonNegative,
  final: flag,
  value: fc.oneof(fc.constantFrom(null, {}, { id: 's', models: [] }), fc.anything()),
  version: nonNegative,
  waiting: count,
  priority: count,
  keep: flag,
  reason: fc.constantFrom('places are in use', 'x'.repeat(100), 'x'.repeat(101), 4),
  complete: fc.oneof(fc.record({ table: count, server: count, version: count }, { requiredKeys: ['table'] }), fc.constantFrom(null, [])),
  stamp: nonNegative,
  bankStamp: nonNegative,
  revision: nonNegative,
  ageMs: nonNegative,
  echo: fc.oneof(fc.record({ stamp: nonNegative, heldMs: nonNegative }, { requiredKeys: ['stamp'] }), fc.constantFrom(null, [])),
  gives: agedTokens,
  grants: agedTokens,
  wants: fc.oneof(fc.array(fc.oneof(fc.tuple(name, nonNegative), fc.tuple(name, nonNegative, nonNegative, nonNegative)), { maxLength: 3 }), fc.constantFrom([['red', 1, 1]], [['red', 1, 1, 1, 1]], null)),
  booked: agedTokens,
  demand: fc.oneof(fc.array(fc.tuple(name, nonNegative), { maxLength: 3 }), fc.constantFrom([['red', 1, 1]], null)),
  serviceDemand: fc.oneof(fc.array(fc.tuple(name, name, nonNegative), { maxLength: 3 }), fc.constantFrom([['red', 1]], null)),
  left: fc.oneof(fc.array(fc.tuple(name, fc.double({ noNaN: true })), { maxLength: 3 }), fc.constantFrom([['red']], null)),
  needed: fc.oneof(fc.array(name, { maxLength: 3 }), fc.constantFrom(null, 'red'))
}, { requiredKeys: ['type'] })

/** The fields of each type. Frames are reduced to these, so that some of each type are valid. */
const fieldsOf: Record<string, string[]> = {
  fact: ['kind', 'key', 'revision', 'seenAt', 'final', 'value'],
  want: ['key', 'version', 'waiting', 'priority'],
  declined: ['key', 'reason'],
  arrived: ['key', 'version'],
  caught_up: ['complete'],
  ask_fresh: ['stamp', 'revision'],
  fresh: ['stamp', 'revision', 'ageMs'],
  quota: ['stamp', 'echo', 'gives', 'wants', 'booked', 'demand', 'serviceDemand'],
  quota_grant: ['stamp', 'bankStamp', 'grants', 'needed', 'demand', 'serviceDemand', 'left']
}
const singleTypeFrames = mixedFrames.map(frame => Object.fromEntries(Object.entries(frame).filter(([field]) => field === 'type' || fieldsOf[frame.type]?.includes(field))))

const frames = fc.oneof(holdings, uses, heartbeats, singleTypeFrames)

describe('the fast path of frame validation', () => {
  it('accepts only frames that the schema accepts unchanged', () => {
    fc.assert(fc.property(frames, frame => {
      if (!passesFastValidation(frame)) return
      const parsed = Frame.safeParse(frame)
      expect(parsed.error).to.equal(undefined)
      expect(parsed.data).to.deep.equal(frame)
    }), { numRuns: 20_000 })
  })

  it('accepts the most frequent frames', () => {
    expect(passesFastValidation({ type: 'holding', host: '10.0.0.1', running: 3 })).to.equal(true)
    expect(passesFastValidation({ type: 'holding', host: '10.0.0.1', came: { 'm/a': 1 }, went: ['m/b'], coming: [], server: null })).to.equal(true)
    expect(passesFastValidation({ type: 'uses', uses: [['m/a', 1, 0]], unread: 3 })).to.equal(true)
    expect(passesFastValidation({ type: 'fact', kind: 'server', key: 's', revision: 4.5, seenAt: 9, value: null })).to.equal(true)
    expect(passesFastValidation({ type: 'want', key: 'm/a', waiting: 1, priority: 4 })).to.equal(true)
    expect(passesFastValidation({ type: 'fresh', stamp: 3.5, revision: 7, ageMs: 0 })).to.equal(true)
    expect(passesFastValidation({ type: 'quota', stamp: 1, echo: { stamp: 2, heldMs: 3 }, gives: [['red', 5, 0.5]], wants: [['blue', 1]] })).to.equal(true)
    expect(passesFastValidation({ type: 'quota_grant', stamp: 1, bankStamp: 2, grants: [], needed: ['red'] })).to.equal(true)
    expect(passesFastValidation({ type: 'heartbeat', revision: 3, complete: { table: 1, server: 2.5, version: 0 }, sight: 'resting' })).to.equal(true)
  })

  for (const [description, value] of Object.entries({ 'a string': 'holding', null: null, 'a missing host': { type: 'holding' }, 'an unknown field': { type: 'holding', host: 'h', other: 1 }, 'a field named like a method of all objects': { type: 'holding', host: 'h', toString: 1 } })) {
    it(`leaves ${description} to the schema`, () => { expect(passesFastValidation(value)).to.equal(false) })
  }
})
