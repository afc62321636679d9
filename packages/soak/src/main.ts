/**
 * `npm run soak -- [runs] [first seed] [seconds] [network] [domains] [entries per domain]`: runs the soak with consecutive seeds. Prints a
 * report per seed as JSON, and for a seed with violations its log and the violations. Exits with 1 if there were any.
 */
import { soak } from './soak.js'

/** Second octet of the fleet's addresses; soaks that run concurrently need different ones. */
const defaultNetwork = 41

/** Number of violations that are printed for each seed. */
const maxPrinted = 20

const [runs = 5, first = Date.now() % 1_000_000, seconds = 8, network = defaultNetwork, domains, entriesPerDomain] = process.argv.slice(2).map(Number)

let failures = 0
for (let seed = first; seed < first + runs; seed++) {
  const lines: string[] = []
  const report = await soak({ seed, network, faultMs: seconds * 1000, domains, entriesPerDomain, log: line => lines.push(line) })
  const { broken, details, ...counts } = report
  process.stdout.write(`${JSON.stringify({ seed, ...counts, broken: broken.length })}\n`)
  if (broken.length === 0) continue
  failures += 1
  for (const line of [...lines, ...broken.slice(0, maxPrinted), ...details]) process.stdout.write(`  ${line}\n`)
}
process.stdout.write(`${runs - failures} of ${runs} seeds without violations\n`)
process.exitCode = failures === 0 ? 0 : 1
