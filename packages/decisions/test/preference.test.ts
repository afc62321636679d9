import { prefer } from '@finchpitch/decisions'
import { expect } from 'chai'

const sides = (count: number): Array<{ process: string, domain: string }> =>
  Array.from({ length: count }, (_, index) => ({ process: `side-${index}`, domain: `zone-${index % 3}` }))

describe('preference', () => {
  it('is the same whatever the order of the candidates', () => {
    expect(prefer('a', sides(20), 4)).to.deep.equal(prefer('a', sides(20).reverse(), 4))
  })

  it('spreads over failure domains as far as there are any', () => {
    for (let key = 0; key < 50; key++) {
      const [first, second, third] = prefer(`k${key}`, sides(20), 4).map(each => each.domain)
      expect(new Set([first, second, third]).size).to.equal(3)
    }
  })

  it('moves only the keys that a lost candidate led', () => {
    const lost = 'side-7'
    const left = sides(20).filter(each => each.process !== lost)
    for (let key = 0; key < 200; key++) {
      const [before] = prefer(`k${key}`, sides(20), 1)
      const [after] = prefer(`k${key}`, left, 1)
      if (before?.process !== lost) expect(after).to.deep.equal(before)
    }
  })

  it('gives each candidate its share of the keys', () => {
    const led = new Map<string, number>()
    for (let key = 0; key < 5000; key++) {
      const name = prefer(`k${key}`, sides(10), 1)[0]?.process ?? ''
      led.set(name, (led.get(name) ?? 0) + 1)
    }
    for (const count of led.values()) expect(count).to.be.within(400, 600)
  })

  it('takes a list shorter than asked for', () => {
    expect(prefer('a', sides(2), 4)).to.have.length(2)
    expect(prefer('a', [], 4)).to.deep.equal([])
  })
})
