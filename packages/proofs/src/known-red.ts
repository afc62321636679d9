/**
 * A Mocha reporter that keeps the known failures listed in KNOWN-RED.txt from failing a run, and prints them.
 *
 * Each line of that file has the full title of a test and, separated by ` | `, the command and seed that reproduce the failure,
 * the observed behaviour, its cause as far as it is known, and the open issue. The run still fails if a test that is not listed
 * fails, or if the list has more than three lines.
 */
import { existsSync, readFileSync } from 'node:fs'
import Mocha from 'mocha'

const listPath = 'KNOWN-RED.txt'
const separator = ' | '
const maxListed = 3

const listedTitles = (): Map<string, string> => {
  if (!existsSync(listPath)) return new Map()
  const lines = readFileSync(listPath, 'utf8').split('\n').filter(line => line.trim() !== '')
  return new Map(lines.map(line => [line.split(separator)[0] ?? line, line]))
}

export default class KnownFailuresReporter extends Mocha.reporters.Spec {
  readonly #listedLines = listedTitles()
  readonly #failedTitles: string[] = []

  constructor (runner: Mocha.Runner, options: Mocha.MochaOptions) {
    super(runner, options)
    runner.on('fail', test => this.#failedTitles.push(test.fullTitle()))
  }

  /** Called by the runner at the end; the number that is passed to `finish` becomes the exit status. */
  override done (_failures: number, finish: (failures: number) => void): void {
    const known = new Set(this.#failedTitles.filter(title => this.#listedLines.has(title)))
    for (const title of known) console.log(`known red, passed over: ${this.#listedLines.get(title) ?? title}`)
    for (const title of this.#listedLines.keys()) if (!known.has(title)) console.log(`listed as known red, and did not fail in this run: ${title}`)
    const unexpected = this.#failedTitles.filter(title => !this.#listedLines.has(title)).length
    const tooMany = this.#listedLines.size > maxListed
    if (tooMany) console.log(`${listPath} lists ${this.#listedLines.size} tests; ${maxListed} are the most`)
    finish(unexpected + Number(tooMany))
  }
}
