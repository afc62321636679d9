import { fingerprintOf, type FingerprintedRequest } from '@finchpitch/fleet'
import { expect } from 'chai'

const request: FingerprintedRequest = { method: 'POST', host: 'a.example', url: '/p/1?x=2', team: 'red', body: Buffer.from('{"ask":"a secret"}') }

describe('the fingerprint of a request', () => {
  it('is the same for each retry', () => {
    expect(fingerprintOf({ ...request, body: Buffer.from(request.body) })).to.equal(fingerprintOf(request))
  })

  const variations: Array<[string, Partial<FingerprintedRequest>]> = [
    ['method', { method: 'PUT' }],
    ['host', { host: 'b.example' }],
    ['path', { url: '/p/2?x=2' }],
    ['query', { url: '/p/1?x=3' }],
    ['team', { team: 'blue' }],
    ['body', { body: Buffer.from('{"ask":"another"}') }]
  ]
  for (const [what, changed] of variations) {
    it(`differs for another ${what}`, () => {
      expect(fingerprintOf({ ...request, ...changed })).to.not.equal(fingerprintOf(request))
    })
  }

  it('distinguishes no team from a team with an empty name', () => {
    expect(fingerprintOf({ ...request, team: undefined })).to.not.equal(fingerprintOf({ ...request, team: '' }))
  })

  it('never begins as that of a part does', () => {
    const fingerprints = Array.from({ length: 500 }, (_, each) => fingerprintOf({ ...request, url: `/p/${each}` }))
    expect(fingerprints.filter(fingerprint => fingerprint.startsWith('_'))).to.deep.equal([])
  })

  it('is a 96-bit hash that reveals nothing of the request', () => {
    expect(fingerprintOf(request)).to.match(/^[\w-]{16}$/)
  })
})
