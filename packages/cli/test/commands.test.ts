import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { TestSystem, operatorToken, testConfiguration } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { stringify } from 'yaml'

const binary = createRequire(import.meta.url).resolve('@finchpitch/cli/bin/finchpitch.js')

interface Exit {
  code: number
  out: string
  error: string
}

describe('commands', function () {
  this.timeout(60_000)
  let system: TestSystem
  let folder: string

  const finchpitch = async (...args: string[]): Promise<Exit> => await new Promise(resolve => {
    const env = { ...process.env, FINCHPITCH_ENTRY: system.daemon('entry-0').url('operators'), FINCHPITCH_TOKEN: operatorToken }
    execFile(process.execPath, [binary, ...args], { env }, (error, out, text) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, out, error: text })
    })
  })

  const writeDeclarations = async (configuration: unknown): Promise<void> => await writeFile(join(folder, 'all.yaml'), stringify(configuration))

  before(async () => {
    system = await TestSystem.start()
    folder = await mkdtemp(join(tmpdir(), 'declarations-'))
  })

  after(async () => {
    await system.stop()
    await rm(folder, { recursive: true })
  })

  it('validate, compare, apply and print declarations', async () => {
    await writeDeclarations({ ...testConfiguration, models: [{ name: 'base-7b' }, { name: 'base-13b' }] })
    expect((await finchpitch('check', folder)).out).to.equal('2 teams, 2 models, 1 services, 2 adapters\n')
    expect((await finchpitch('diff', folder)).out).to.equal('+ models base-13b\n')
    expect((await finchpitch('apply', folder, '--dry-run')).out).to.equal('+ models base-13b\n')
    expect((await finchpitch('apply', folder, '--note', 'a larger model')).out).to.contain('applied as revision 2')
    expect((await finchpitch('apply', folder)).out).to.contain('unchanged: revision 2')
    expect((await finchpitch('wait', '2')).out).to.contain('revision 2 is in force')
    expect((await finchpitch('history')).out).to.contain('a larger model')
    expect((await finchpitch('get')).out).to.contain('base-13b')
    expect((await finchpitch('status')).out).to.match(/entry-0\s+entry\s+oslo-0\s+up to date/)
    expect((await finchpitch('logs', 'level', 'warn')).out).to.equal('log level warn\n')
  })

  it('remove undeclared elements only with --prune', async () => {
    await writeDeclarations({ ...testConfiguration, models: [{ name: 'base-7b' }] })
    expect((await finchpitch('diff', folder)).out).to.equal('no difference\n')
    expect((await finchpitch('diff', folder, '--prune', '--json')).out).to.contain('"removed"')
  })

  describe('exit with', () => {
    it('2 and all findings for invalid declarations', async () => {
      await writeDeclarations({ teams: [{ name: 'No Name', tokens: ['short'] }] })
      const { code, error } = await finchpitch('apply', folder)
      expect([code, (error.match(/all\.yaml:/g) ?? []).length]).to.deep.equal([2, 2])
    })

    it('1 for a wrong token and 4 for an unreachable entry', async () => {
      expect((await finchpitch('status', '--token', 'wrong')).code).to.equal(1)
      expect((await finchpitch('status', '--entry', 'http://127.0.0.1:1')).code).to.equal(4)
    })
  })
})
