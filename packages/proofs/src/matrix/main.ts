/**
 * `npm run matrix`: runs every cell, prints the grid, and ends with 1 if a promise was broken.
 *
 * `npm run matrix -- SCENARIO STEP FAULT` runs a part of it.
 */
import { faultNames } from './faults.js'
import { runMatrix, type Cell } from './matrix.js'
import { promises, scenarioNames, scenarios } from './scenarios.js'

const marks = { ran: '.', not_run: 'n', unknown: 'u', nothing: '-' } as const

const markOf = (cell: Cell): string => {
  if (cell.violations.length > 0) return '#'
  const mark = marks[cell.last]
  return cell.struck ? mark : `(${mark})`
}

const say = (text: string): boolean => process.stdout.write(`${text}\n`)

const printGrid = (cells: Cell[]): void => {
  faultNames.forEach((fault, index) => say(`${String(index + 1).padStart(3)}  ${fault}`))
  say('\n.  ran   n  told not run   u  told unknown   -  told nothing   #  a promise broken   ( )  the step did not come; struck at the end')
  for (const scenario of scenarioNames) {
    const own = cells.filter(cell => cell.scenario === scenario)
    if (own.length === 0) continue
    say(`\n${scenario}: ${scenarios[scenario].checks.map(each => promises[each]).join('; ')}`)
    say(`${''.padEnd(16)}${faultNames.map((_, index) => String(index + 1).padStart(4)).join('')}`)
    for (const step of scenarios[scenario].steps) {
      const row = faultNames.map(fault => own.find(cell => cell.step === step && cell.fault === fault))
      if (row.some(cell => cell !== undefined)) say(`${step.padEnd(16)}${row.map(cell => (cell === undefined ? '' : markOf(cell)).padStart(4)).join('')}`)
    }
  }
}

const run = async (): Promise<void> => {
  const [scenario, step, fault] = process.argv.slice(2)
  const cells: Cell[] = []
  for await (const cell of runMatrix({ scenario, step, fault })) cells.push(cell)
  printGrid(cells)
  const broken = cells.filter(cell => cell.violations.length > 0)
  for (const { scenario: name, step: at, fault: by, violations } of broken) {
    for (const { promise, detail } of violations) say(`${name} / ${at} / ${by}: ${promises[promise]}: ${detail}`)
  }
  say(`\n${cells.length} cells, ${cells.filter(cell => cell.struck).length} struck at their step, ${broken.length} with a broken promise`)
  process.exitCode = broken.length > 0 ? 1 : 0
}

await run()
