import { hashOf } from '@finchpitch/decisions'
import { chooseEngine, choosePlain, type EngineOption, type Option } from '@finchpitch/fleet'
import { expect } from 'chai'

const option = (id: string, domain: string, more: Partial<EngineOption> = {}): EngineOption => ({
  id, hash: hashOf(id), domain, load: 0, slots: 10, doubtful: false, lapsed: false, holds: false, coming: false, expectedMs: 20, warm: false, orderable: true, ...more
})
const plain = (id: string, domain: string, more: Partial<Option> = {}): Option =>
  ({ id, hash: hashOf(id), domain, load: 0, slots: 6, doubtful: false, lapsed: false, ...more })
const engine = (options: EngineOption[], domain = 'a'): ReturnType<typeof chooseEngine> =>
  chooseEngine({ options, domain, key: 'm/x', inTimeMs: 600 })

describe('choice', () => {
  describe('of a plain server', () => {
    it('stays in the domain while that is little fuller', () => {
      expect(choosePlain([plain('near', 'a', { load: 1 }), plain('far', 'b')], 'a')).to.include({ id: 'near' })
      expect(choosePlain([plain('near', 'a', { load: 6 }), plain('far', 'b')], 'a')).to.include({ id: 'far' })
    })

    it('avoids doubtful servers while there are others, and uses them when there are none', () => {
      expect(choosePlain([plain('near', 'a', { doubtful: true }), plain('far', 'b')], 'a')).to.include({ id: 'far' })
      expect(choosePlain([plain('near', 'a', { doubtful: true })], 'a')).to.include({ id: 'near' })
    })

    it('uses a lapsed server only where nothing else is left', () => {
      expect(choosePlain([plain('near', 'a', { lapsed: true }), plain('far', 'b', { doubtful: true })], 'a')).to.include({ id: 'far' })
      expect(choosePlain([plain('near', 'a', { lapsed: true })], 'a')).to.include({ id: 'near' })
    })

    it('waits when all are full', () => {
      expect(choosePlain([plain('near', 'a', { load: 10 })], 'a').type).to.equal('full')
      expect(choosePlain([], 'a').type).to.equal('none')
    })
  })

  describe('of an engine', () => {
    it('sends to one that holds the adapter, in the domain first', () => {
      expect(engine([option('near', 'a', { holds: true, load: 5 }), option('far', 'b', { holds: true })])).to.include({ type: 'send', id: 'near' })
    })

    it('sends to the holder that is expected to answer first, however many requests it has', () => {
      const options = ['p', 'q', 'r', 's'].map((id, index) => option(id, 'a', { holds: true, load: index, expectedMs: 500 - index * 100 }))
      expect(engine(options)).to.include({ id: 's' })
    })

    it('goes across only where that is sooner by more than the bytes are worth', () => {
      const near = option('near', 'a', { holds: true, expectedMs: 300 })
      expect(engine([near, option('far', 'b', { holds: true, expectedMs: 255 })])).to.include({ id: 'near' })
      expect(engine([near, option('far', 'b', { holds: true, expectedMs: 100 })])).to.include({ id: 'far' })
    })

    it('goes across for an adapter rather than load it again', () => {
      expect(engine([option('near', 'a'), option('far', 'b', { holds: true })])).to.include({ type: 'send', id: 'far' })
    })

    it('asks the same engine from every domain, and another once that one can not be asked', () => {
      const options = [option('p', 'a'), option('q', 'a'), option('r', 'b')]
      const first = engine(options)
      expect(first.type).to.equal('bring')
      for (const domain of ['a', 'b', 'c']) expect(engine(options, domain)).to.deep.equal(first)
      const asked = first.type === 'bring' ? first.ask : undefined
      const second = engine(options.map(each => each.id === asked ? { ...each, orderable: false } : each))
      expect(second).to.have.property('ask').that.is.oneOf(['p', 'q', 'r']).and.not.equal(asked)
    })

    it('asks an engine that has a copy at hand, even across, before the weight store', () => {
      expect(engine([option('p', 'a'), option('q', 'b', { warm: true })])).to.deep.include({ ask: 'q' })
    })

    it('waits for engines that can not be asked yet, and gives up where there are none', () => {
      expect(engine([option('p', 'a', { orderable: false })])).to.deep.include({ type: 'bring', ask: undefined })
      expect(engine([]).type).to.equal('none')
    })

    it('asks the engine that starts soonest, where that is sooner by more than a home is worth', () => {
      const home = (options: EngineOption[]): unknown => Object.entries(engine(options)).find(([name]) => name === 'ask')?.[1]
      const [p, q] = [option('p', 'a'), option('q', 'a')]
      const other = home([p, q]) === 'p' ? 'q' : 'p'
      const slow = (ms: number): EngineOption[] => [p, q].map(each => each.id === other ? each : { ...each, expectedMs: ms })
      expect(home(slow(200))).to.not.equal(other)
      expect(home(slow(2000))).to.equal(other)
    })

    it('waits for a replica where its only holder would make it late, and goes to the holder where nothing is gained', () => {
      const holder = option('p', 'a', { holds: true, expectedMs: 1500 })
      expect(engine([holder, option('q', 'b')])).to.deep.include({ type: 'bring', ask: 'q', held: true })
      expect(engine([holder, option('q', 'b', { expectedMs: 900 })])).to.include({ type: 'send', id: 'p' })
      expect(engine([{ ...holder, expectedMs: 500 }, option('q', 'b')])).to.include({ type: 'send', id: 'p' })
    })

    it('waits for an adapter on its way', () => {
      expect(engine([option('p', 'a', { coming: true }), option('q', 'a')])).to.deep.include({ type: 'bring', ask: undefined })
    })

    it('wants another replica when the holders are full', () => {
      expect(engine([option('p', 'a', { holds: true, load: 12 }), option('q', 'a')])).to.deep.include({ type: 'bring', ask: 'q' })
    })
  })
})
