/**
 * The faults that a soak injects. They are drawn with the seed, follow one another and may overlap.
 */
import { pause } from '@finchpitch/core'
import type { BackendStandIn, FaultProxy, FleetSystem, Machine } from '@finchpitch/stand-ins'
import { everywhere, storeAway, type Disturbances } from './disturbances.js'
import type { Dice } from './random.js'

export interface Scene {
  fleet: FleetSystem
  dice: Dice
  proxies: FaultProxy[]
  disturbances: Disturbances
}

export interface Fault {
  name: string
  deal: (context: Scene) => Promise<void>
}

const machines = ({ fleet }: Scene): Machine[] => [...fleet.entries, ...fleet.sides]

const restart = async (context: Scene, machine: Machine, signal: NodeJS.Signals): Promise<void> => {
  await context.fleet.kill(machine, signal)
  await pause(context.dice.between(50, 500))
  await context.fleet.startProcess(machine)
}

/** Machines that a fault has stopped. A machine is only stopped by one fault at a time. */
const stoppedMachines = new WeakSet<Machine>()

const withRandomMachine = async (context: Scene, act: (machine: Machine) => Promise<void>): Promise<void> => {
  const machine = context.dice.pick(machines(context))
  if (stoppedMachines.has(machine)) return
  stoppedMachines.add(machine)
  await context.disturbances.during(machine.name, () => act(machine))
  stoppedMachines.delete(machine)
}

/** Kills all machines that no other fault has stopped at once, and restarts them together after a delay. */
export const endAll = async (context: Scene): Promise<void> => {
  const killed = machines(context).filter(machine => !stoppedMachines.has(machine))
  const downMs = context.dice.between(50, 500)
  for (const machine of killed) stoppedMachines.add(machine)
  await Promise.all(killed.map(machine => context.disturbances.during(machine.name, async () => {
    await context.fleet.kill(machine)
    await pause(downMs)
    await context.fleet.startProcess(machine)
  })))
  for (const machine of killed) stoppedMachines.delete(machine)
}

const withConnectionFault = async ({ dice: random, proxies, disturbances }: Scene, fault: FaultProxy['harm']): Promise<void> => {
  const proxy = random.pick(proxies)
  await disturbances.during(everywhere, async () => {
    proxy.harm = fault
    await pause(random.between(200, 2000))
    proxy.harm = { type: 'none' }
    // Withheld data must not arrive late: this fault is a lost connection, not a slow one.
    if (fault.type !== 'delay') proxy.resetAll()
  })
}

const withServerFault = async (context: Scene, fault: BackendStandIn['fault']): Promise<void> => {
  const server = context.dice.pick([...context.fleet.engines, ...context.fleet.plain])
  server.fault = fault
  await pause(context.dice.between(200, 1500))
  server.fault = 'none'
}

export const faultTable: readonly Fault[] = [
  { name: 'a process is killed', deal: async context => await withRandomMachine(context, async machine => await restart(context, machine, 'SIGKILL')) },
  { name: 'a process is stopped and started', deal: async context => await withRandomMachine(context, async machine => await restart(context, machine, 'SIGTERM')) },
  {
    name: 'a process stands still',
    deal: async context => await withRandomMachine(context, async machine => {
      machine.process?.kill('SIGSTOP')
      await pause(context.dice.between(200, 2500))
      machine.process?.kill('SIGCONT')
    })
  },
  { name: 'the settings are read again', deal: async context => { context.dice.pick(machines(context)).process?.kill('SIGHUP') } },
  { name: 'connections are slow', deal: async context => await withConnectionFault(context, { type: 'delay', ms: context.dice.between(20, 300) }) },
  { name: 'connections are reset', deal: async context => await withConnectionFault(context, { type: 'reset' }) },
  { name: 'connections are silent', deal: async context => await withConnectionFault(context, { type: 'silence' }) },
  { name: 'answers are cut off', deal: async context => await withConnectionFault(context, { type: 'one_way' }) },
  { name: 'open connections are reset once', deal: async context => await context.disturbances.during(everywhere, async () => context.dice.pick(context.proxies).resetAll()) },
  ...(['reset', 'failing', 'shedding', 'torn', 'unsealed', 'foreign', 'mute'] as const).map(fault =>
    ({ name: `a server is ${fault}`, deal: async (context: Scene) => await withServerFault(context, fault) })),
  {
    name: 'the store is away',
    deal: async ({ fleet, dice: random, disturbances }) => await disturbances.during(storeAway, async () => {
      fleet.store.fault = random.pick(['busy', 'reset', 'silent'] as const)
      await pause(random.between(300, 2500))
      fleet.store.fault = 'none'
    })
  },
  { name: 'the store forgets its history', deal: async ({ fleet, disturbances }) => await disturbances.during(storeAway, async () => fleet.store.compact()) },
  { name: 'the configuration changes', deal: async ({ fleet }) => fleet.store.put('config', 'main', fleet.table(fleet.store.writeCount + 100)) },
  {
    name: 'a version is named',
    deal: async ({ fleet, dice: random }) => {
      const adapter = `a${random.between(1, 10)}`
      fleet.store.put('versions', `base.${adapter}`, { model: 'base', adapter, version: fleet.store.writeCount })
    }
  },
  {
    name: 'orders are late',
    deal: async ({ fleet, dice: random }) => {
      const engine = random.pick(fleet.engines)
      engine.lateOrdersMs = random.between(300, 2000)
      await pause(random.between(300, 1500))
      engine.lateOrdersMs = 0
    }
  }
]
