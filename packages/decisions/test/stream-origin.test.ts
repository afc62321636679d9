import { VersionHistory, decideOrigin, recordCopies, type OriginAnswer } from '@finchpitch/decisions'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { expect } from 'chai'

const negative = (domain: string, unrecorded?: string, single = true, keeps = true): OriginAnswer => ({ domain, unrecorded, single, keeps })

describe('the version at which a stream goes on', () => {
  it('is the recorded one, whoever else has no record, once two domains say so or nobody else answers', () => {
    const question = { answers: [negative('a', 'v2'), { domain: 'b', recorded: 'v1' }], domains: 3, unrecorded: 'v2', identified: true }
    expect(decideOrigin({ ...question, complete: false })).to.deep.equal({ type: 'pending' })
    expect(decideOrigin({ ...question, complete: true })).to.deep.equal({ type: 'known', version: 'v1' })
    expect(decideOrigin({ ...question, complete: false, answers: [...question.answers, { domain: 'c', recorded: 'v1' }] })).to.deep.equal({ type: 'known', version: 'v1' })
  })

  it('is the recorded one at once if there is a single domain', () => {
    expect(decideOrigin({ answers: [{ domain: 'a', recorded: 'v1' }], complete: false, domains: 1, unrecorded: undefined, identified: true })).to.deep.equal({ type: 'known', version: 'v1' })
  })

  it('is not known if records differ', () => {
    const answers = [{ domain: 'a', recorded: 'v1' }, { domain: 'b', recorded: 'v2' }]
    expect(decideOrigin({ answers, complete: true, domains: 2, unrecorded: undefined, identified: true })).to.deep.equal({ type: 'unknown' })
  })

  describe('without a record', () => {
    it('is the single one, as soon as all domains have said so', () => {
      const two = { answers: [negative('a', 'v1'), negative('b', 'v1')], complete: false, domains: 3, unrecorded: 'v1', identified: true }
      expect(decideOrigin(two)).to.deep.equal({ type: 'pending' })
      expect(decideOrigin({ ...two, answers: [...two.answers, negative('c', 'v1')] })).to.deep.equal({ type: 'known', version: 'v1' })
    })

    it('is the single one by the list of the store, unless a process knows of another one', () => {
      const proven = { answers: [negative('a', 'v1')], complete: false, domains: 3, unrecorded: 'v1', proven: 'v1', identified: true }
      expect(decideOrigin(proven)).to.deep.equal({ type: 'known', version: 'v1' })
      expect(decideOrigin({ ...proven, answers: [negative('a', undefined, false)] })).to.deep.equal({ type: 'known', version: 'v1' })
      expect(decideOrigin({ ...proven, answers: [negative('a', 'v1', false)] })).to.deep.equal({ type: 'pending' })
      expect(decideOrigin({ ...proven, answers: [negative('a', 'v2')] })).to.deep.equal({ type: 'pending' })
    })

    it('is the one before a second one appeared, once all domains have answered', () => {
      const question = { answers: [negative('a', 'v1', false), negative('b', 'v1', false)], domains: 2, unrecorded: undefined, identified: true }
      expect(decideOrigin({ ...question, complete: false })).to.deep.equal({ type: 'pending' })
      expect(decideOrigin({ ...question, complete: true })).to.deep.equal({ type: 'known', version: 'v1' })
    })

    it('is known of a stream that is not identified only if there was a single one', () => {
      const question = { complete: true, domains: 2, unrecorded: undefined, identified: false }
      expect(decideOrigin({ ...question, answers: [negative('a', 'v1', false), negative('b', 'v1', false)] })).to.deep.equal({ type: 'unknown' })
      expect(decideOrigin({ ...question, answers: [negative('a', 'v1'), negative('b', 'v1')] })).to.deep.equal({ type: 'known', version: 'v1' })
    })

    const doubts: Record<string, Omit<Parameters<typeof decideOrigin>[0], 'complete'>> = {
      'nobody answers': { answers: [], domains: 1, unrecorded: 'v1', identified: true },
      'a domain of two does not answer': { answers: [negative('a', 'v1')], domains: 2, unrecorded: 'v1', identified: true },
      'a domain of three does not answer': { answers: [negative('a', 'v1'), negative('b', 'v1')], domains: 3, unrecorded: 'v1', identified: true },
      'too few domains answer': { answers: [negative('a', 'v1'), negative('a', 'v1')], domains: 3, unrecorded: 'v1', identified: true },
      'a second one appeared lately, and a domain does not answer': { answers: [negative('a', 'v1', false), negative('b', 'v1', false)], domains: 3, unrecorded: 'v1', identified: true },
      'a second one appeared lately, and no process that would have the record answers in a domain': { answers: [negative('a', 'v1', false), negative('b', 'v1', false, false)], domains: 2, unrecorded: 'v1', identified: true },
      'a second one appeared lately, and an answer tells of a further domain': { answers: [{ ...negative('a', 'v1', false), domains: 2 }], domains: 1, unrecorded: undefined, identified: true },
      'too few of the domains answer of which an answer tells': { answers: [{ ...negative('a', 'v1'), domains: 3 }], domains: 1, unrecorded: undefined, identified: true },
      'one that answers has just started': { answers: [negative('a', 'v1'), negative('b')], domains: 2, unrecorded: 'v1', identified: true },
      'another entry knows another version': { answers: [negative('a', 'v1')], domains: 2, unrecorded: 'v2', identified: true }
    }
    for (const [doubt, question] of Object.entries(doubts)) {
      it(`is not known if ${doubt}`, () => {
        expect(decideOrigin({ ...question, complete: true })).to.deep.equal({ type: 'unknown' })
      })
    }
  })

  /**
   * Domains with a keeper of records each, which restart, fall silent and learn of changes late, while versions come and go. Entries
   * record streams as their own history says, and take them up anywhere.
   */
  describe('of a deployment with restarts, partitions and changing versions', () => {
    const windowMs = 30_000
    const stepMs = 500
    const lagMs = 2000

    for (const domains of [1, 2, 3, 5]) {
      it(`is never another one than that of its begin (${domains} failure domains)`, () => {
        let known = 0
        let asked = 0
        for (let seed = 1; seed <= 60; seed++) {
          const random = xoroshiro128plus(seed)
          const below = (limit: number): number => uniformInt(random, 0, limit - 1)
          const names = Array.from({ length: domains }, (_, index) => `d${index}`)
          const newHistory = (): VersionHistory => new VersionHistory({ windowMs, maxGapMs: 10_000 })
          const peers = names.map(domain => ({ domain, keeper: newHistory(), entry: newHistory(), records: new Map<number, string>(), learnsAt: 0, cutUntil: 0 }))
          let listed = new Set(['v1'])
          const seen = peers.map(() => new Set(['v1']))
          const streams: Array<{ id: number, version: string, at: number }> = []
          for (let now = 0; now < 180_000; now += stepMs) {
            if (below(80) === 0) {
              const next = new Set(listed)
              const version = `v${1 + below(3)}`
              if (next.has(version) && next.size > 1) next.delete(version)
              else next.add(version)
              listed = next
              for (const peer of peers) peer.learnsAt = now + below(lagMs)
            }
            peers.forEach((peer, index) => {
              if (below(120) === 0) peer.cutUntil = now + below(20_000)
              if (below(150) === 0) {
                peer.keeper = newHistory()
                peer.records.clear()
              }
              if (below(150) === 0) peer.entry = newHistory()
              const isCut = now < peer.cutUntil
              if (!isCut && now >= peer.learnsAt) seen[index] = listed
              for (const history of [peer.keeper, peer.entry]) {
                history.list(seen[index] ?? listed, now)
                if (!isCut) history.confirm(now)
              }
            })
            const from = below(domains)
            const beginner = peers[from]
            const versions = [...seen[from] ?? []]
            const version = versions[below(versions.length)]
            if (beginner !== undefined && version !== undefined) {
              const id = streams.length
              streams.push({ id, version, at: now })
              if (beginner.entry.needsRecords(now)) {
                const far = peers[(from + 1 + below(Math.max(1, domains - 1))) % domains]
                for (const keeper of [beginner, far].slice(0, recordCopies)) if (keeper !== undefined && (keeper === beginner || (now >= keeper.cutUntil && now >= beginner.cutUntil))) keeper.records.set(id, version)
              }
            }
            const stream = streams[streams.length - 1 - below(Math.min(streams.length, 16))]
            const taker = peers[below(domains)]
            if (stream === undefined || taker === undefined || now < taker.cutUntil) continue
            const answers = peers.filter(peer => now >= peer.cutUntil && below(20) > 0).map(({ domain, keeper, records }) =>
              ({ domain, recorded: records.get(stream.id), unrecorded: keeper.unrecorded(now), single: keeper.single(now) !== undefined, keeps: true }))
            const decision = decideOrigin({ answers, complete: true, domains, unrecorded: taker.entry.unrecorded(now), identified: true })
            asked += 1
            if (decision.type !== 'known') continue
            known += 1
            expect(decision.version, `seed ${seed}, stream ${stream.id}, ${now} ms`).to.equal(stream.version)
          }
        }
        expect(known / asked).to.be.greaterThan(0.5)
      })
    }
  })
})
