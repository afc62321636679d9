import { partFingerprintOf, sharedPartsOf } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('the parts that prompts share', () => {
  describe('as stated by callers', () => {
    it('are all but the last, which is the own part of the request', () => {
      expect(sharedPartsOf('5c1e07a2:800,91BD3f06:410, e4402b7d:250')).to.deep.equal(['5c1e07a2', '91bd3f06'])
    })

    it('count once each', () => {
      expect(sharedPartsOf('aa:1,aa:1,bb:2')).to.deep.equal(['aa'])
    })

    const without: Array<[string, string | undefined]> = [
      ['is missing', undefined],
      ['is empty', ''],
      ['names the own part only', 'aa:10'],
      ['has an id that is not in hex', 'xx:10,aa:10'],
      ['has an id that is too long', `${'a'.repeat(65)}:10,bb:10`],
      ['lacks a number of tokens', 'aa,bb:10'],
      ['has a gap', 'aa:10,,bb:10']
    ]
    for (const [what, stated] of without) {
      it(`are none if the list ${what}`, () => {
        expect(sharedPartsOf(stated)).to.deep.equal([])
      })
    }

    it('are bounded in number', () => {
      const stated = Array.from({ length: 1000 }, (_, part) => `${part.toString(16)}:1`).join(',')
      expect(sharedPartsOf(stated)).to.have.length(16)
    })
  })

  describe('in fingerprints', () => {
    it('differ by part and by service', () => {
      const fingerprints = [partFingerprintOf('a', 'aa'), partFingerprintOf('a', 'ab'), partFingerprintOf('b', 'aa')]
      expect(new Set(fingerprints).size).to.equal(3)
      for (const fingerprint of fingerprints) expect(fingerprint).to.match(/^_[\w-]{15}$/)
    })
  })
})
