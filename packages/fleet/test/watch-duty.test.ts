import { dutyOf, selectWatchers, type WatcherCandidate } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('who watches the platform\'s store', () => {
  describe('as an entry sees it', () => {
    const other = { watch: false, outage: false }
    const view = { appointments: [other, other], read: true, confirmedMs: 300, unproven: false }

    it('is others, where side processes near say so', () => {
      expect(dutyOf(view)).to.deep.equal({ watch: false, reason: 'left to others' })
    })

    it('is itself, where any names it', () => {
      expect(dutyOf({ ...view, appointments: [other, { watch: true, outage: false }] })).to.include({ watch: true, reason: 'named' })
    })

    it('is itself, where nobody near answers', () => {
      expect(dutyOf({ ...view, appointments: [] })).to.include({ watch: true })
    })

    it('is itself, until everything was read', () => {
      expect(dutyOf({ ...view, read: false })).to.include({ watch: true })
    })

    it('is itself, where nothing was confirmed for long', () => {
      expect(dutyOf({ ...view, confirmedMs: 6500 })).to.include({ watch: true, reason: 'nothing was confirmed' })
    })

    it('is itself, where keys have to be confirmed and nobody does', () => {
      expect(dutyOf({ ...view, unproven: true })).to.include({ watch: true, reason: 'keys are not confirmed' })
    })

    it('is others still, where keys have to be confirmed and none is answered by the store', () => {
      expect(dutyOf({ ...view, appointments: [{ watch: false, outage: true }], unproven: true })).to.include({ watch: false })
    })

    it('is others still, where none is answered by the store', () => {
      expect(dutyOf({ ...view, appointments: [{ watch: false, outage: true }], confirmedMs: 6500 })).to.include({ watch: false })
    })
  })

  describe('as side processes name them', () => {
    const entries = (more: Partial<WatcherCandidate>[] = []): WatcherCandidate[] =>
      ['e', 'd', 'c', 'b', 'a'].map((process, at) => ({ process, silentMs: 100, sight: 'resting', ...more[at] }))

    it('is the same three for all', () => {
      expect([...selectWatchers(entries()).selected]).to.deep.equal(['a', 'b', 'c'])
      expect(selectWatchers(entries().reverse())).to.deep.equal(selectWatchers(entries()))
    })

    it('is not one that is silent, or that the store does not answer', () => {
      expect([...selectWatchers(entries([{}, {}, { silentMs: 1600 }, { sight: 'blind' }, {}])).selected]).to.deep.equal(['a', 'd', 'e'])
    })

    it('is the first of those heard where the store answers none', () => {
      const blind = entries(Array.from({ length: 5 }, () => ({ sight: 'blind' as const })))
      expect([...selectWatchers(blind).selected]).to.deep.equal(['a', 'b', 'c'])
      expect(selectWatchers(blind).outage).to.equal(true)
      expect(selectWatchers(entries([{ sight: 'blind' }])).outage).to.equal(false)
    })
  })
})
