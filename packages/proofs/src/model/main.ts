/**
 * `npm run check:model`: checks the models exhaustively with Spin, and that each mutation is rejected.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const run = promisify(execFile)
const folder = fileURLToPath(new URL('../../model/', import.meta.url))

interface Model {
  file: string
  /** Each takes one rule out; the check must then fail. */
  mutations: Record<string, string>
}

const models: Model[] = [
  {
    file: 'claims.pml',
    mutations: {
      NO_CAS: 'a claim is written whatever is there',
      NO_READBACK: 'a lost answer is taken for success',
      NO_RECORD: 'a side process does not remember what it ran',
      NO_REBIND_GUARD: 'a claim is replaced whichever it is',
      NO_CONFIRM: '"not run" is told without reading the claim again'
    }
  },
  {
    file: 'slots.pml',
    mutations: {
      NO_PIN: 'a request does not pin its slot',
      NO_CANCEL: 'a pin is released though the engine may go on',
      NO_BOOT: 'an answer of another boot is believed'
    }
  },
  {
    file: 'configuration.pml',
    mutations: {
      NO_CAS: 'the head is written whatever is there',
      NO_READBACK: 'a lost answer is taken for a refusal',
      NO_MONOTONE: 'a process takes on whatever it reads'
    }
  }
]

interface Verdict {
  errors: number
  states: string
  /** Whether every state was searched. */
  whole: boolean
  /** What failed, and the last steps towards it. */
  counterexample: string[]
}

const counterexampleSteps = 6
const depth = '1000000'

const checkOne = async (file: string, define?: string): Promise<Verdict> => {
  const work = await mkdtemp(join(tmpdir(), 'model-'))
  try {
    const defines = define === undefined ? [] : [`-D${define}`]
    await run('spin', [...defines, '-a', join(folder, file)], { cwd: work })
    await run('cc', ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-o', 'pan', 'pan.c'], { cwd: work })
    const { stdout } = await run(join(work, 'pan'), [`-m${depth}`], { cwd: work, maxBuffer: 1e8 }).catch(error => error as { stdout: string })
    const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN)
    const states = /(\S+) states, stored/.exec(stdout)?.[1] ?? '?'
    const whole = !/search depth too small|out of memory|not completed/i.test(stdout)
    const counterexample = errors > 0 ? await explain(work, file, defines, stdout) : []
    return { errors, states, whole, counterexample }
  } finally {
    await rm(work, { recursive: true })
  }
}

const explain = async (work: string, file: string, defines: string[], stdout: string): Promise<string[]> => {
  const failed = /pan:\d+: (.*)/.exec(stdout)?.[1] ?? 'failed'
  const trail = await run('spin', [...defines, '-t', '-p', '-k', join(work, `${file}.trail`), join(folder, file)], { cwd: work, maxBuffer: 1e8 })
  const steps = trail.stdout.split('\n').filter(line => /proc\s+\d+/.test(line) && !/run |init/.test(line))
  return [failed, ...steps.slice(-counterexampleSteps).map(step => step.trim().replace(/\S+\//g, ''))]
}

const say = (text: string): boolean => process.stdout.write(`${text}\n`)

let faults = 0
let mutations = 0
for (const model of models) {
  const verdict = await checkOne(model.file)
  const holds = verdict.errors === 0 && verdict.whole
  if (!holds) faults += 1
  say(`${model.file}: ${verdict.states} states, every one searched: ${verdict.whole ? 'yes' : 'no'}, errors: ${verdict.errors}`)
  verdict.counterexample.forEach(step => say(`    ${step}`))
  for (const [define, meaning] of Object.entries(model.mutations)) {
    const mutated = await checkOne(model.file, define)
    const rejected = mutated.errors > 0
    mutations += 1
    if (!rejected) faults += 1
    say(`  ${define} (${meaning}): ${rejected ? 'rejected' : 'NOT REJECTED'}`)
    mutated.counterexample.forEach(step => say(`    ${step}`))
  }
}
say(`\n${models.length} models, ${mutations} mutations, ${faults} faults`)
process.exitCode = faults > 0 ? 1 : 0
