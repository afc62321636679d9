/**
 * `npm run check:model`: checks the Promela models exhaustively with Spin. Each model is checked again with one of its rules
 * removed at a time, and the check must then fail: a rule whose removal goes unnoticed is not covered by the model.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const run = promisify(execFile)
const modelFolder = fileURLToPath(new URL('../../model/', import.meta.url))

interface Model {
  file: string
  /** Preprocessor symbols that each remove one rule from the model, with what they do; the check must then fail. */
  mutations: Record<string, string>
}

const models: Model[] = [
  {
    file: 'claims.pml',
    mutations: {
      NO_CAS: 'a claim is written unconditionally, without compare-and-swap',
      NO_READBACK: 'a write whose answer was lost is assumed to have succeeded',
      NO_RECORD: 'a side process keeps no record of the requests that it ran',
      NO_REBIND_GUARD: 'a claim is replaced without checking that it is the refused one',
      NO_CONFIRM: '"not run" is answered without reading the claim again'
    }
  },
  {
    file: 'slots.pml',
    mutations: {
      NO_PIN: 'a request does not pin its slot',
      NO_CANCEL: 'a pin is released while the engine may still run the request',
      NO_BOOT: 'an answer from another boot of the engine is accepted'
    }
  },
  {
    file: 'configuration.pml',
    mutations: {
      NO_CAS: 'the head is written unconditionally, without compare-and-swap',
      NO_READBACK: 'a write whose answer was lost is assumed to have been refused',
      NO_MONOTONE: 'a process applies any revision that it reads, even an older one'
    }
  }
]

interface CheckResult {
  errors: number
  states: string
  /** Whether the search covered every state, with neither its depth nor the memory exhausted. */
  whole: boolean
  /** The failed assertion, and the last steps that lead to it. */
  counterexample: string[]
}

const counterexampleSteps = 6
const searchDepth = '1000000'

const checkModel = async (file: string, define?: string): Promise<CheckResult> => {
  const workFolder = await mkdtemp(join(tmpdir(), 'model-'))
  try {
    const defines = define === undefined ? [] : [`-D${define}`]
    await run('spin', [...defines, '-a', join(modelFolder, file)], { cwd: workFolder })
    await run('cc', ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-o', 'pan', 'pan.c'], { cwd: workFolder })
    const { stdout } = await run(join(workFolder, 'pan'), [`-m${searchDepth}`], { cwd: workFolder, maxBuffer: 1e8 }).catch(error => error as { stdout: string })
    const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN)
    const states = /(\S+) states, stored/.exec(stdout)?.[1] ?? '?'
    const whole = !/search depth too small|out of memory|not completed/i.test(stdout)
    const counterexample = errors > 0 ? await explain(workFolder, file, defines, stdout) : []
    return { errors, states, whole, counterexample }
  } finally {
    await rm(workFolder, { recursive: true })
  }
}

const explain = async (workFolder: string, file: string, defines: string[], stdout: string): Promise<string[]> => {
  const failed = /pan:\d+: (.*)/.exec(stdout)?.[1] ?? 'failed'
  const trail = await run('spin', [...defines, '-t', '-p', '-k', join(workFolder, `${file}.trail`), join(modelFolder, file)], { cwd: workFolder, maxBuffer: 1e8 })
  const steps = trail.stdout.split('\n').filter(line => /proc\s+\d+/.test(line) && !/run |init/.test(line))
  return [failed, ...steps.slice(-counterexampleSteps).map(step => step.trim().replace(/\S+\//g, ''))]
}

const printLine = (text: string): boolean => process.stdout.write(`${text}\n`)

let failures = 0
let mutations = 0
for (const model of models) {
  const result = await checkModel(model.file)
  const holds = result.errors === 0 && result.whole
  if (!holds) failures += 1
  printLine(`${model.file}: ${result.states} states, search complete: ${result.whole ? 'yes' : 'no'}, errors: ${result.errors}`)
  result.counterexample.forEach(step => printLine(`    ${step}`))
  for (const [define, meaning] of Object.entries(model.mutations)) {
    const mutated = await checkModel(model.file, define)
    const rejected = mutated.errors > 0
    mutations += 1
    if (!rejected) failures += 1
    printLine(`  ${define} (${meaning}): ${rejected ? 'rejected' : 'NOT REJECTED'}`)
    mutated.counterexample.forEach(step => printLine(`    ${step}`))
  }
}
printLine(`\n${models.length} models, ${mutations} mutations, ${failures} failures`)
process.exitCode = failures > 0 ? 1 : 0
