import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { validateConfiguration } from '@finchpitch/core'
import { diffConfigurations, formatChanges, readDeclarations, mergeDeclared } from '@finchpitch/cli'
import { expect } from 'chai'

describe('declarations', () => {
  let folder: string

  const write = async (file: string, text: string): Promise<void> => await writeFile(join(folder, file), text)
  const findings = async (): Promise<string[]> => {
    const read = await readDeclarations(folder)
    return read.isOk() ? [] : read.error.map(({ code, path }) => `${code} ${path}`)
  }

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'declarations-'))
  })

  afterEach(async () => await rm(folder, { recursive: true }))

  it('are merged from many files into one configuration', async () => {
    await write('teams.yaml', 'teams:\n  - name: quetzal\n    tokens: []\n')
    await write('models.yml', 'models:\n  - name: base-7b\n')
    const read = (await readDeclarations(folder))._unsafeUnwrap()
    expect([read.teams.length, read.models.length]).to.deep.equal([1, 1])
  })

  it('are reported with all findings, each with its file and line', async () => {
    await write('a.yaml', 'teams:\n  - name: quetzal\n    tokens: [short]\nmodells: []\n')
    await write('b.yaml', 'services:\n  - name: ledger\n    teams: []\n')
    expect(await findings()).to.have.members([
      'invalid_value a.yaml:4 modells',
      'invalid_value a.yaml:3 teams.0.tokens.0',
      'invalid_value b.yaml:3 services.0.teams'
    ])
  })

  it('are reported with the line of a YAML syntax error', async () => {
    await write('a.yaml', 'teams:\n  - name: [\n')
    expect((await findings())[0]).to.match(/^invalid_syntax a\.yaml:\d+$/)
  })

  it('are rejected where a folder has no YAML files', async () => {
    expect(await findings()).to.have.length(1)
  })
})

describe('configuration diff', () => {
  const configurationOf = (...teams: Array<[string, number]>): ReturnType<typeof mergeDeclared> =>
    validateConfiguration({ teams: teams.map(([name, weight]) => ({ name, weight, tokens: [] })) })._unsafeUnwrap()

  it('lists added, changed and removed elements', () => {
    const text = formatChanges(diffConfigurations(configurationOf(['a', 1], ['b', 1]), configurationOf(['b', 2], ['c', 1])))
    expect(text.split('\n')).to.have.members(['~ teams b', '+ teams c', '- teams a'])
  })

  it('removes nothing without pruning', () => {
    const current = configurationOf(['a', 1], ['b', 1])
    expect(formatChanges(diffConfigurations(current, mergeDeclared(current, configurationOf(['b', 2]))))).to.equal('~ teams b')
  })
})
