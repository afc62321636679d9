import { fingerprintOf, type FingerprintedRequest } from '@finchpitch/fleet'
import { expect } from 'chai'

const request: FingerprintedRequest = { method: 'POST', host: 'a.example', url: '/p/1?x=2', team: 'red', body: Buffer.from('{"ask":"a secret"}') }

describe('the fingerprint of a request', () => {
  it('is the same for each try', () => {
    expect(fingerprintOf({ ...request, body: Buffer.from(request.body) })).to.equal(fingerprintOf(request))
  })

  const others: Array<[string, Partial<FingerprintedRequest>]> = [
    ['method', { method: 'PUT' }],
    ['host', { host: 'b.example' }],
    ['path', { url: '/p/2?x=2' }],
    ['query', { url: '/p/1?x=3' }],
    ['team', { team: 'blue' }],
    ['body', { body: Buffer.from('{"ask":"another"}') }]
  ]
  for (const [what, more] of others) {
    it(`is another for another ${what}`, () => {
      expect(fingerprintOf({ ...request, ...more })).to.not.equal(fingerprintOf(request))
    })
  }

  it('tells a request without a team from one of a team without a name', () => {
    expect(fingerprintOf({ ...request, team: undefined })).to.not.equal(fingerprintOf({ ...request, team: '' }))
  })

  it('has 96 bits, and nothing of what was asked can be read from it', () => {
    expect(fingerprintOf(request)).to.match(/^[\w-]{16}$/)
  })
})
