import { SentRequests, type SentRequest } from '@finchpitch/fleet'
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

describe('Requests sent to a side process', () => {
  const countOf = (requests: Iterable<SentRequest>, since: number): number => [...requests].filter(({ at, keep }) => !keep && at > since).length

  describe('number of loads requested since a report', () => {
    it('is that of a count from scratch over random histories, so that no change leaves an outdated count', () => {
      for (let seed = 1; seed <= 50; seed++) {
        const generator = xoroshiro128plus(seed)
        const random = (): number => uniformFloat64(generator)
        const requests = new SentRequests()
        const expected = new Map<string, SentRequest>()
        let reportedAt = 0
        for (let now = 0; now < 400; now++) {
          const key = `model/${Math.floor(random() * 12)}`
          const action = random()
          if (action < 0.4) {
            const request = { key, waiting: 1, priority: 0, keep: random() < 0.3, at: now }
            requests.set(request)
            expected.set(key, request)
          } else if (action < 0.6) {
            requests.delete(key)
            expected.delete(key)
          } else if (action < 0.65) {
            requests.deleteBefore(now - 20)
            for (const [each, { at }] of expected) if (at < now - 20) expected.delete(each)
          } else if (action < 0.67) {
            requests.clear()
            expected.clear()
          } else if (action < 0.8) reportedAt = now - Math.floor(random() * 30)
          for (const since of [reportedAt, reportedAt, reportedAt - 10]) expect(requests.loadsSince(since), `seed ${seed} at ${now}`).to.equal(countOf(expected.values(), since))
          expect(requests.get(key)).to.equal(expected.get(key))
        }
      }
    })
  })
})
