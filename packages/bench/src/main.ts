/**
 * `npm run bench -- NAME`: runs one measurement, prints its table and writes it as JSON. `losses FILE` analyses the log of an
 * entry instead; it prints its tables and writes nothing.
 */
import { measureCapacity } from './capacity.js'
import { measureClaims } from './claims.js'
import { readLosses } from './losses.js'
import { measurePath } from './path.js'
import { measureProcessor } from './processor.js'
import { measureProcessorOverload } from './processor-overload.js'
import { measureProcessorStart } from './processor-start.js'
import { formatTable } from './report.js'

const losses = async (): Promise<void> => {
  const [, , , file] = process.argv
  if (file === undefined) throw new Error('losses needs the path of a log')
  const { byRoute, byInterval } = await readLosses(file)
  if (byRoute.length === 0) throw new Error(`no line "request.ended" in ${file}`)
  process.stdout.write(`${formatTable(byRoute)}\n\n${formatTable(byInterval)}\n`)
}

const measurements: Record<string, () => Promise<void>> = { capacity: measureCapacity, claims: measureClaims, losses, path: measurePath, processor: measureProcessor, 'processor-overload': measureProcessorOverload, 'processor-start': measureProcessorStart }

const name = process.argv[2] ?? ''
const measure = measurements[name]
if (measure === undefined) {
  process.stderr.write(`no measurement "${name}"; there are: ${Object.keys(measurements).join(', ')}\n`)
  process.exitCode = 2
} else {
  await measure().catch((error: unknown) => {
    process.stderr.write(`${(error as Error).message}\n`)
    process.exitCode = 1
  })
}
