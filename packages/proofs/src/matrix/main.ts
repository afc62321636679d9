/**
 * `npm run matrix`: runs every cell of the fault matrix and prints the grid. Exits with status 1 if a guarantee was violated.
 *
 * `npm run matrix -- SCENARIO STEP FAULT` runs only the matching cells; the last arguments may be left out.
 */
import { faultNames } from './faults.js'
import { runMatrix, type Cell } from './matrix.js'
import { guarantees, scenarioNames, scenarios } from './scenarios.js'

const marks = { ran: '.', not_run: 'n', unknown: 'u', nothing: '-' } as const

const markOf = (cell: Cell): string => {
  if (cell.violations.length > 0) return '#'
  const mark = marks[cell.lastOutcome]
  return cell.stepReached ? mark : `(${mark})`
}

const printLine = (text: string): boolean => process.stdout.write(`${text}\n`)

const printGrid = (cells: Cell[]): void => {
  faultNames.forEach((fault, index) => printLine(`${String(index + 1).padStart(3)}  ${fault}`))
  printLine('\n.  ran   n  answered "not run"   u  answered "unknown"   -  no answer   #  guarantee violated   ( )  step not reached; fault injected later')
  for (const scenario of scenarioNames) {
    const own = cells.filter(cell => cell.scenario === scenario)
    if (own.length === 0) continue
    printLine(`\n${scenario}: ${scenarios[scenario].checks.map(each => guarantees[each]).join('; ')}`)
    printLine(`${''.padEnd(16)}${faultNames.map((_, index) => String(index + 1).padStart(4)).join('')}`)
    for (const step of scenarios[scenario].steps) {
      const row = faultNames.map(fault => own.find(cell => cell.step === step && cell.fault === fault))
      if (row.some(cell => cell !== undefined)) printLine(`${step.padEnd(16)}${row.map(cell => (cell === undefined ? '' : markOf(cell)).padStart(4)).join('')}`)
    }
  }
}

const run = async (): Promise<void> => {
  const [scenario, step, fault] = process.argv.slice(2)
  const cells: Cell[] = []
  for await (const cell of runMatrix({ scenario, step, fault })) cells.push(cell)
  printGrid(cells)
  const violated = cells.filter(cell => cell.violations.length > 0)
  for (const { scenario: name, step: at, fault: by, violations } of violated) {
    for (const { guarantee, detail } of violations) printLine(`${name} / ${at} / ${by}: ${guarantees[guarantee]}: ${detail}`)
  }
  printLine(`\n${cells.length} cells, ${cells.filter(cell => cell.stepReached).length} with the fault at its step, ${violated.length} with a violated guarantee`)
  process.exitCode = violated.length > 0 ? 1 : 0
}

await run()
