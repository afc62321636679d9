/**
 * The faults that a soak injects. They are drawn with the seed, follow one another and may overlap.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FaultProxy, FleetSystem, Machine } from '@finchpitch/stand-ins'
import { anyMachine, storeOutage, type Disturbances } from './disturbances.js'
import type { SeededRandom } from './seeded-random.js'

export interface FaultContext {
  fleet: FleetSystem
  random: SeededRandom
  proxies: FaultProxy[]
  disturbances: Disturbances
}

export interface Fault {
  name: string
  inject: (context: FaultContext) => Promise<void>
}

const machines = ({ fleet }: FaultContext): Machine[] => [...fleet.entries, ...fleet.sides]

const restart = async (context: FaultContext, machine: Machine, signal: NodeJS.Signals): Promise<void> => {
  await context.fleet.kill(machine, signal)
  await pause(context.random.between(50, 500))
  await context.fleet.startProcess(machine)
}

/** Machines that a fault has stopped. A machine is only stopped by one fault at a time. */
const stoppedMachines = new WeakSet<Machine>()

/** Runs `act` on a random machine, unless another fault has stopped it. */
export const withRandomMachine = async (context: FaultContext, act: (machine: Machine) => Promise<void>): Promise<void> => {
  const machine = context.random.pick(machines(context))
  if (stoppedMachines.has(machine)) return
  stoppedMachines.add(machine)
  await context.disturbances.during(machine.name, () => act(machine))
  stoppedMachines.delete(machine)
}

/** Kills all machines that no other fault has stopped at once, and restarts them together after a delay. */
export const killAndRestartAll = async (context: FaultContext): Promise<void> => {
  const killed = machines(context).filter(machine => !stoppedMachines.has(machine))
  const downMs = context.random.between(50, 500)
  for (const machine of killed) stoppedMachines.add(machine)
  await Promise.all(killed.map(machine => context.disturbances.during(machine.name, async () => {
    await context.fleet.kill(machine)
    await pause(downMs)
    await context.fleet.startProcess(machine)
  })))
  for (const machine of killed) stoppedMachines.delete(machine)
}

const withConnectionFault = async ({ random, proxies, disturbances }: FaultContext, fault: FaultProxy['fault']): Promise<void> => {
  const proxy = random.pick(proxies)
  await disturbances.during(anyMachine, async () => {
    proxy.fault = fault
    await pause(random.between(200, 2000))
    proxy.fault = { type: 'none' }
    // Withheld data must not arrive late: this fault is a lost connection, not a slow one.
    if (fault.type !== 'delay') proxy.resetAll()
  })
}

const withServerFault = async (context: FaultContext, fault: BackendStandIn['fault']): Promise<void> => {
  const server = context.random.pick([...context.fleet.engines, ...context.fleet.plainServers])
  server.fault = fault
  await pause(context.random.between(200, 1500))
  server.fault = 'none'
}

export const faultTable: readonly Fault[] = [
  { name: 'a process is killed', inject: async context => await withRandomMachine(context, async machine => await restart(context, machine, 'SIGKILL')) },
  { name: 'a process is stopped and started', inject: async context => await withRandomMachine(context, async machine => await restart(context, machine, 'SIGTERM')) },
  {
    name: 'a process stands still',
    inject: async context => await withRandomMachine(context, async machine => {
      machine.process?.kill('SIGSTOP')
      await pause(context.random.between(200, 2500))
      machine.process?.kill('SIGCONT')
    })
  },
  { name: 'the settings are read again', inject: async context => { context.fleet.signal(context.random.pick(machines(context)).process, 'SIGHUP') } },
  { name: 'connections are slow', inject: async context => await withConnectionFault(context, { type: 'delay', ms: context.random.between(20, 300) }) },
  { name: 'connections are reset', inject: async context => await withConnectionFault(context, { type: 'reset' }) },
  { name: 'connections are silent', inject: async context => await withConnectionFault(context, { type: 'silence' }) },
  { name: 'answers are cut off', inject: async context => await withConnectionFault(context, { type: 'one_way' }) },
  { name: 'open connections are reset once', inject: async context => await context.disturbances.during(anyMachine, async () => context.random.pick(context.proxies).resetAll()) },
  ...(['reset', 'failing', 'shedding', 'torn', 'unsealed', 'foreign', 'mute'] as const).map(fault =>
    ({ name: `a server is ${fault}`, inject: async (context: FaultContext) => await withServerFault(context, fault) })),
  {
    name: 'the store is away',
    inject: async ({ fleet, random, disturbances }) => await disturbances.during(storeOutage, async () => {
      fleet.store.fault = random.pick(['busy', 'reset', 'silent'] as const)
      await pause(random.between(300, 2500))
      fleet.store.fault = 'none'
    })
  },
  { name: 'the store forgets its history', inject: async ({ fleet, disturbances }) => await disturbances.during(storeOutage, async () => fleet.store.compact()) },
  { name: 'the configuration changes', inject: async ({ fleet }) => fleet.store.put('config', 'main', fleet.table(fleet.store.writeCount + 100)) },
  {
    name: 'a version is named',
    inject: async ({ fleet, random }) => {
      const adapter = `a${random.between(1, 10)}`
      fleet.store.put('versions', `base.${adapter}`, { model: 'base', adapter, version: fleet.store.writeCount })
    }
  },
  {
    name: 'orders are late',
    inject: async ({ fleet, random }) => {
      const engine = random.pick(fleet.engines)
      engine.orderDelayMs = random.between(300, 2000)
      await pause(random.between(300, 1500))
      engine.orderDelayMs = 0
    }
  }
]
