/**
 * The fault matrix: one cell for each combination of a scenario, one of its steps and a fault.
 */
import { Cluster } from './cluster.js'
import { faultNames, faults, type FaultName } from './faults.js'
import type { Step } from './process-gate.js'
import { scenarioNames, scenarios, type GuaranteeLetter, type ScenarioResult, type Scenario, type ScenarioName } from './scenarios.js'

export interface Cell extends ScenarioResult {
  scenario: ScenarioName
  step: Step
  fault: FaultName
  /** Whether the step was reached. If not, the fault was injected late in the run. */
  stepReached: boolean
  checks: readonly GuaranteeLetter[]
}

export const runCell = async (scenarioName: ScenarioName, step: Step, faultName: FaultName): Promise<Cell> => {
  const scenario: Scenario = scenarios[scenarioName]
  const fault = faults[faultName]
  const cluster = await Cluster.start(scenario.layout)
  try {
    cluster.scheduleFault(step, () => fault.inject(cluster))
    const result = await scenario.run(cluster, fault)
    return { ...result, scenario: scenarioName, step, fault: faultName, stepReached: cluster.stepReached, checks: scenario.checks }
  } finally {
    cluster.close()
  }
}

export interface CellFilter {
  scenario?: string | undefined
  step?: string | undefined
  fault?: string | undefined
}

export async function * runMatrix ({ scenario, step, fault }: CellFilter = {}): AsyncGenerator<Cell> {
  for (const scenarioName of scenarioNames.filter(each => scenario === undefined || each === scenario)) {
    const steps: readonly Step[] = scenarios[scenarioName].steps
    for (const eachStep of steps.filter(each => step === undefined || each === step)) {
      for (const faultName of faultNames.filter(each => fault === undefined || each === fault)) {
        yield await runCell(scenarioName, eachStep, faultName)
      }
    }
  }
}
