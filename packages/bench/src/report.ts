/**
 * Reports of measurements: a table on standard output, and the same figures as JSON in docs/measurements.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { cpus } from 'node:os'

export type Row = Record<string, string | number>

export interface Report {
  name: string
  /** How the figures were measured, for readers of the JSON file alone. */
  about: string
  rows: Row[]
}

const reportFolder = new URL('../../../docs/measurements/', import.meta.url)
const significantDigits = 3

export const roundSignificant = (value: number): number => Number(value.toPrecision(significantDigits))

export const formatTable = (rows: Row[]): string => {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => (line[index] ?? '').length)))
  return cells.map(line => line.map((cell, index) => index === 0 ? cell.padEnd(widths[index] ?? 0) : cell.padStart(widths[index] ?? 0)).join('  ')).join('\n')
}

export const publishReport = async (report: Report): Promise<void> => {
  process.stdout.write(`\n${report.name}: ${report.about}\n\n${formatTable(report.rows)}\n`)
  await mkdir(reportFolder, { recursive: true })
  const machine = { node: process.version, cpus: cpus().length }
  await writeFile(new URL(`${report.name}.json`, reportFolder), `${JSON.stringify({ ...report, machine }, null, 2)}\n`)
}
