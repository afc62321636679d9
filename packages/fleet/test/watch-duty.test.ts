import { decideWatchDuty, selectWatchers, type WatcherCandidate } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('which entries watch the platform\'s store', () => {
  describe('the duty of an entry', () => {
    const notAppointed = { watch: false, outage: false }
    const input = { appointments: [notAppointed, notAppointed], hasSynced: true, confirmedMs: 300, lacksProof: false }

    it('is not to watch if local side processes appoint others', () => {
      expect(decideWatchDuty(input)).to.deep.equal({ watch: false, reason: 'left to others' })
    })

    it('is to watch if any side process appoints it', () => {
      expect(decideWatchDuty({ ...input, appointments: [notAppointed, { watch: true, outage: false }] })).to.include({ watch: true, reason: 'named' })
    })

    it('is to watch if no local side process responds', () => {
      expect(decideWatchDuty({ ...input, appointments: [] })).to.include({ watch: true })
    })

    it('is to watch until every kind of fact has been received', () => {
      expect(decideWatchDuty({ ...input, hasSynced: false })).to.include({ watch: true })
    })

    it('is to watch if the list of servers has not been confirmed for long', () => {
      expect(decideWatchDuty({ ...input, confirmedMs: 6500 })).to.include({ watch: true, reason: 'nothing was confirmed' })
    })

    it('is to watch if keys need a proof and none arrives', () => {
      expect(decideWatchDuty({ ...input, lacksProof: true })).to.include({ watch: true, reason: 'keys are not confirmed' })
    })

    it('is not to watch if keys need a proof but the store answers no entry', () => {
      expect(decideWatchDuty({ ...input, appointments: [{ watch: false, outage: true }], lacksProof: true })).to.include({ watch: false })
    })

    it('is not to watch if nothing has been confirmed but the store answers no entry', () => {
      expect(decideWatchDuty({ ...input, appointments: [{ watch: false, outage: true }], confirmedMs: 6500 })).to.include({ watch: false })
    })
  })

  describe('the selection by side processes', () => {
    const candidates = (overrides: Partial<WatcherCandidate>[] = []): WatcherCandidate[] =>
      ['e', 'd', 'c', 'b', 'a'].map((process, at) => ({ process, silentMs: 100, sight: 'resting', ...overrides[at] }))

    it('is the same three entries at all side processes', () => {
      expect([...selectWatchers(candidates()).selected]).to.deep.equal(['a', 'b', 'c'])
      expect(selectWatchers(candidates().reverse())).to.deep.equal(selectWatchers(candidates()))
    })

    it('skips entries that are silent or that the store does not answer', () => {
      expect([...selectWatchers(candidates([{}, {}, { silentMs: 1600 }, { sight: 'blind' }, {}])).selected]).to.deep.equal(['a', 'd', 'e'])
    })

    it('is the first responsive entries if the store answers none', () => {
      const blind = candidates(Array.from({ length: 5 }, () => ({ sight: 'blind' as const })))
      expect([...selectWatchers(blind).selected]).to.deep.equal(['a', 'b', 'c'])
      expect(selectWatchers(blind).outage).to.equal(true)
      expect(selectWatchers(candidates([{ sight: 'blind' }])).outage).to.equal(false)
    })
  })
})
