import { validateConfiguration, resolveVersion } from '@finchpitch/core'
import { expect } from 'chai'

const adapter = { team: 'quetzal', name: 'statement', model: 'base-7b', versions: [{ version: 'v1', source: 'w1' }, { version: 'v2', source: 'w2' }], aliases: { live: 'v2' }, default: 'live' }
const document = { teams: [{ name: 'quetzal', tokens: [] }], models: [{ name: 'base-7b' }], services: [], adapters: [adapter] }

describe('configuration', () => {
  describe('validateConfiguration', () => {
    it('accepts a valid document', () => {
      expect(validateConfiguration(document).isOk()).to.equal(true)
    })

    it('reports all errors with their paths', () => {
      const findings = validateConfiguration({
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

    it('reports unknown fields by name', () => {
      const findings = validateConfiguration({ ...document, teamz: [] })._unsafeUnwrapErr()
      expect(findings[0]?.message).to.contain('teamz')
    })
  })

  describe('resolveVersion', () => {
    const [parsedAdapter] = validateConfiguration(document)._unsafeUnwrap().adapters
    if (parsedAdapter === undefined) throw new Error('expected the document to have an adapter')

    it('resolves a version, an alias and the default', () => {
      expect([resolveVersion(parsedAdapter, 'v1'), resolveVersion(parsedAdapter, 'live'), resolveVersion(parsedAdapter, undefined)]).to.deep.equal(['v1', 'v2', 'v2'])
    })

    it('resolves no undeclared version, nor a property inherited from Object.prototype', () => {
      expect([resolveVersion(parsedAdapter, 'v9'), resolveVersion(parsedAdapter, 'constructor')]).to.deep.equal([undefined, undefined])
    })
  })
})
