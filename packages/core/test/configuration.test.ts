import { check, versionOf } from '@finchpitch/core'
import { expect } from 'chai'

const adapter = { team: 'quetzal', name: 'statement', model: 'base-7b', versions: [{ version: 'v1', source: 'w1' }, { version: 'v2', source: 'w2' }], aliases: { live: 'v2' }, default: 'live' }
const document = { teams: [{ name: 'quetzal', tokens: [] }], models: [{ name: 'base-7b' }], services: [], adapters: [adapter] }

describe('configuration', () => {
  describe('check', () => {
    it('takes a whole document', () => {
      expect(check(document).isOk()).to.equal(true)
    })

    it('reports every fault with its path', () => {
      const findings = check({
        ...document,
        services: [{ name: 'ledger', teams: ['nobody'] }],
        adapters: [{ ...adapter, model: 'none', default: 'v9', aliases: { old: 'v0' } }, adapter]
      })._unsafeUnwrapErr()
      expect(findings.map(({ code, path }) => `${code} ${path}`)).to.have.members([
        'unknown_team services.0.teams',
        'unknown_model adapters.0.model',
        'unknown_version adapters.0.aliases.old',
        'unknown_version adapters.0.default',
        'duplicate_name adapters.1'
      ])
    })

    it('names unknown fields', () => {
      const findings = check({ ...document, teamz: [] })._unsafeUnwrapErr()
      expect(findings[0]?.message).to.contain('teamz')
    })
  })

  describe('versionOf', () => {
    const [checked] = check(document)._unsafeUnwrap().adapters
    if (checked === undefined) throw new Error('the document has an adapter')

    it('resolves a version, an alias and the default', () => {
      expect([versionOf(checked, 'v1'), versionOf(checked, 'live'), versionOf(checked, undefined)]).to.deep.equal(['v1', 'v2', 'v2'])
    })

    it('knows nothing that is not declared, also not a property of every object', () => {
      expect([versionOf(checked, 'v9'), versionOf(checked, 'constructor')]).to.deep.equal([undefined, undefined])
    })
  })
})
