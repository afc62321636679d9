/**
 * `npm run bench -- NAME`: runs one measurement, prints its table and keeps it as JSON.
 */
import { capacity } from './capacity.js'
import { claims } from './claims.js'
import { path } from './path.js'

const measurements: Record<string, () => Promise<void>> = { capacity, claims, path }

const name = process.argv[2] ?? ''
const measure = measurements[name]
if (measure === undefined) {
  process.stderr.write(`no measurement "${name}"; there are: ${Object.keys(measurements).join(', ')}\n`)
  process.exitCode = 2
} else {
  await measure()
}
