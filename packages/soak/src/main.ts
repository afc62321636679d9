/**
 * `npm run soak -- [runs] [first seed] [seconds] [network]`: plays seeds one after the other; says what broke, and with which seed.
 */
import { soak } from './soak.js'

/** Second number of the fleet's addresses, so that several soaks can run beside each other. */
const defaultNetwork = 41

const [runs = 5, first = Date.now() % 1_000_000, seconds = 8, network = defaultNetwork] = process.argv.slice(2).map(Number)

let failures = 0
for (let seed = first; seed < first + runs; seed++) {
  const lines: string[] = []
  const report = await soak({ seed, network, faultMs: seconds * 1000, log: line => lines.push(line) })
  const { broken, ...counts } = report
  process.stdout.write(`${JSON.stringify({ seed, ...counts, broken: broken.length })}\n`)
  if (broken.length === 0) continue
  failures += 1
  for (const line of [...lines, ...broken.slice(0, 20)]) process.stdout.write(`  ${line}\n`)
}
process.stdout.write(`${runs - failures} of ${runs} seeds kept every promise\n`)
process.exitCode = failures === 0 ? 0 : 1
