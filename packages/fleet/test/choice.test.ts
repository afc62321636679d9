import { hashOf } from '@finchpitch/decisions'
import { chooseEngine, choosePlain, helpsRepeat, type EngineCandidate, type ServerCandidate } from '@finchpitch/fleet'
import { expect } from 'chai'

const candidate = (id: string, domain: string, more: Partial<EngineCandidate> = {}): EngineCandidate => ({
  id, hash: hashOf(id), domain, load: 0, slots: 10, unhealthy: false, fallback: false, holds: false, coming: false, expectedMs: 20, warm: false, canRequestLoad: true, ...more
})
const plain = (id: string, domain: string, more: Partial<ServerCandidate> = {}): ServerCandidate =>
  ({ id, hash: hashOf(id), domain, load: 0, slots: 6, unhealthy: false, fallback: false, ...more })
const engine = (candidates: EngineCandidate[], domain = 'a'): ReturnType<typeof chooseEngine> =>
  chooseEngine({ candidates, domain, key: 'm/x', timeToObjectiveMs: 600 })

describe('server selection', () => {
  describe('among plain servers', () => {
    it('prefers the own domain unless it is much more loaded', () => {
      expect(choosePlain([plain('near', 'a', { load: 1 }), plain('far', 'b')], 'a')).to.include({ id: 'near' })
      expect(choosePlain([plain('near', 'a', { load: 6 }), plain('far', 'b')], 'a')).to.include({ id: 'far' })
    })

    it('selects unhealthy servers only if there are no others', () => {
      expect(choosePlain([plain('near', 'a', { unhealthy: true }), plain('far', 'b')], 'a')).to.include({ id: 'far' })
      expect(choosePlain([plain('near', 'a', { unhealthy: true })], 'a')).to.include({ id: 'near' })
    })

    it('selects a fallback server only as a last resort', () => {
      expect(choosePlain([plain('near', 'a', { fallback: true }), plain('far', 'b', { unhealthy: true })], 'a')).to.include({ id: 'far' })
      expect(choosePlain([plain('near', 'a', { fallback: true })], 'a')).to.include({ id: 'near' })
    })

    it('waits when all servers are at capacity', () => {
      expect(choosePlain([plain('near', 'a', { load: 10 })], 'a').type).to.equal('full')
      expect(choosePlain([], 'a').type).to.equal('none')
    })
  })

  describe('among engines', () => {
    it('selects an engine that holds the adapter, in the own domain first', () => {
      expect(engine([candidate('near', 'a', { holds: true, load: 5 }), candidate('far', 'b', { holds: true })])).to.include({ type: 'send', id: 'near' })
    })

    it('selects the holder that is expected to answer first, whatever its load', () => {
      const candidates = ['p', 'q', 'r', 's'].map((id, index) => candidate(id, 'a', { holds: true, load: index, expectedMs: 500 - index * 100 }))
      expect(engine(candidates)).to.include({ id: 's' })
    })

    it('selects another domain only if that is faster by more than the cross-domain penalty', () => {
      const local = candidate('near', 'a', { holds: true, expectedMs: 300 })
      expect(engine([local, candidate('far', 'b', { holds: true, expectedMs: 255 })])).to.include({ id: 'near' })
      expect(engine([local, candidate('far', 'b', { holds: true, expectedMs: 100 })])).to.include({ id: 'far' })
    })

    it('selects a holder in another domain rather than load the adapter again', () => {
      expect(engine([candidate('near', 'a'), candidate('far', 'b', { holds: true })])).to.include({ type: 'send', id: 'far' })
    })

    it('requests a load from the same engine in every domain, and from another if that one cannot be asked', () => {
      const candidates = [candidate('p', 'a'), candidate('q', 'a'), candidate('r', 'b')]
      const first = engine(candidates)
      expect(first.type).to.equal('bring')
      for (const domain of ['a', 'b', 'c']) expect(engine(candidates, domain)).to.deep.equal(first)
      const asked = first.type === 'bring' ? first.ask : undefined
      const second = engine(candidates.map(each => each.id === asked ? { ...each, canRequestLoad: false } : each))
      expect(second).to.have.property('ask').that.is.oneOf(['p', 'q', 'r']).and.not.equal(asked)
    })

    it('prefers loading from a copy in memory, even in another domain, to the weight store', () => {
      expect(engine([candidate('p', 'a'), candidate('q', 'b', { warm: true })])).to.deep.include({ ask: 'q' })
    })

    it('waits for engines that cannot be asked yet, and returns none if there are no engines', () => {
      expect(engine([candidate('p', 'a', { canRequestLoad: false })])).to.deep.include({ type: 'bring', ask: undefined })
      expect(engine([]).type).to.equal('none')
    })

    it('requests a load from the engine that starts first if that is faster by more than the affinity penalty', () => {
      const loadTarget = (candidates: EngineCandidate[]): unknown => Object.entries(engine(candidates)).find(([name]) => name === 'ask')?.[1]
      const [p, q] = [candidate('p', 'a'), candidate('q', 'a')]
      const other = loadTarget([p, q]) === 'p' ? 'q' : 'p'
      const slow = (ms: number): EngineCandidate[] => [p, q].map(each => each.id === other ? each : { ...each, expectedMs: ms })
      expect(loadTarget(slow(200))).to.not.equal(other)
      expect(loadTarget(slow(2000))).to.equal(other)
    })

    it('waits for a replica if the only holder would miss the objective, and selects the holder if a replica would not help', () => {
      const holder = candidate('p', 'a', { holds: true, expectedMs: 1500 })
      expect(engine([holder, candidate('q', 'b')])).to.deep.include({ type: 'bring', ask: 'q', held: true })
      expect(engine([holder, candidate('q', 'b', { expectedMs: 900 })])).to.include({ type: 'send', id: 'p' })
      expect(engine([{ ...holder, expectedMs: 500 }, candidate('q', 'b')])).to.include({ type: 'send', id: 'p' })
    })

    it('lets a failed request wait for a load only while that can help its caller', () => {
      const load = engine([candidate('p', 'a')])
      expect([helpsRepeat(load, 500), helpsRepeat(load, 100), helpsRepeat(engine([]), 500)]).to.deep.equal([true, false, false])
      expect(helpsRepeat(engine([candidate('p', 'a', { holds: true, unhealthy: true })]), 0)).to.equal(true)
    })

    it('waits for an adapter that is being loaded', () => {
      expect(engine([candidate('p', 'a', { coming: true }), candidate('q', 'a')])).to.deep.include({ type: 'bring', ask: undefined })
    })

    describe('that differ in pace', () => {
      it('selects the holder that is expected to finish first', () => {
        const holders = [candidate('p', 'a', { holds: true, runMs: 700 }), candidate('q', 'a', { holds: true, expectedMs: 150, runMs: 300 })]
        expect(engine(holders)).to.include({ type: 'send', id: 'q' })
      })

      // Guards against slow engines that get as many adapters as quick ones, and against idle ones when slots are short.
      it('loads fewer adapters into slow ones, but not while slots are short', () => {
        const loadsAt = (id: string, room: number): number => Array.from({ length: 2000 }, (_, each) => chooseEngine({
          candidates: [candidate('slow', 'a', { weight: 0.5, room }), candidate('quick', 'a', { weight: 1, room })], domain: 'a', key: `m/${each}`, timeToObjectiveMs: 600, adapterSlots: 20
        })).filter(choice => choice.type === 'bring' && choice.ask === id).length
        expect(loadsAt('slow', 10) / 2000).to.be.closeTo(1 / 3, 0.05)
        expect(loadsAt('slow', 1) / 2000).to.be.closeTo(1 / 2, 0.05)
      })
    })

    describe('whose slots are short', () => {
      const full = (id: string, slotMs: number, more: Partial<EngineCandidate> = {}): EngineCandidate => candidate(id, 'a', { room: 0, slotMs, ...more })
      const asked = (candidates: EngineCandidate[]): unknown => Object.entries(engine(candidates)).find(([name]) => name === 'ask')?.[1]

      // Guards against demands at engines without a slot, which are declined after a while, next to engines with room.
      it('requests a load from an engine with room rather than wait long for a slot', () => {
        for (const id of ['q', 'r', 's', 't']) expect(asked([full('p', 1200), candidate(id, 'a', { room: 1 })])).to.equal(id)
      })

      it('waits for a slot that is expected soon where the engine has a copy in memory', () => {
        expect(asked([full('p', 50, { warm: true, hash: hashOf('m/x') }), candidate('q', 'a', { room: 1, expectedMs: 700 })])).to.equal('p')
      })

      it('waits where a slot is expected first if no engine has room, and stays there', () => {
        const choice = engine([full('p', 1200), full('q', 100)])
        expect(choice).to.deep.include({ type: 'bring', ask: 'q', reason: 'no engine has room' })
        expect(asked([full('p', 300, { queued: true }), full('q', 100)])).to.equal('p')
        expect(asked([full('p', 1200, { queued: true }), candidate('q', 'a', { room: 2 })])).to.equal('q')
      })

      // Guards against second copies that take the slots which adapters without any copy wait for.
      it('loads second copies only while a tenth of all slots has room', () => {
        const choose = (room: number): unknown => chooseEngine({
          candidates: [candidate('p', 'a', { holds: true, load: 12, room: 0 }), candidate('q', 'a', { room })], domain: 'a', key: 'm/x', timeToObjectiveMs: 600, adapterSlots: 10
        })
        expect(choose(1)).to.include({ type: 'full' })
        expect(choose(2)).to.deep.include({ type: 'bring', ask: 'q' })
      })

      it('changes no choice where every engine has ample room', () => {
        for (let each = 0; each < 300; each++) {
          const random = (values: number): number => Math.floor(Math.random() * values)
          const engines = ['p', 'q', 'r', 's'].map(id => candidate(id, 'ab'.charAt(random(2)), {
            holds: random(4) === 0, coming: random(8) === 0, warm: random(3) === 0, load: random(13), expectedMs: random(900), unhealthy: random(6) === 0
          }))
          const withRoom = engines.map(candidate => ({ ...candidate, room: 5, slotMs: 0, queued: false }))
          const selection = { domain: 'a', key: `m/${each}`, timeToObjectiveMs: 600 }
          expect(chooseEngine({ ...selection, candidates: withRoom, adapterSlots: 10 })).to.deep.equal(chooseEngine({ ...selection, candidates: engines }))
        }
      })
    })

    it('requests another replica when the holders are at capacity', () => {
      expect(engine([candidate('p', 'a', { holds: true, load: 12 }), candidate('q', 'a')])).to.deep.include({ type: 'bring', ask: 'q' })
    })
  })
})
