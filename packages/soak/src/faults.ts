/**
 * The faults that a soak deals, one after the other and over each other, each drawn from the seed.
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
  deal: (scene: Scene) => Promise<void>
}

const machines = ({ fleet }: Scene): Machine[] => [...fleet.entries, ...fleet.sides]

const restart = async (scene: Scene, machine: Machine, signal: NodeJS.Signals): Promise<void> => {
  await scene.fleet.kill(machine, signal)
  await pause(scene.dice.between(50, 500))
  await scene.fleet.startProcess(machine)
}

/** One machine is stopped by one fault at a time; the others go on. */
const busy = new WeakSet<Machine>()

const withMachine = async (scene: Scene, act: (machine: Machine) => Promise<void>): Promise<void> => {
  const machine = scene.dice.pick(machines(scene))
  if (busy.has(machine)) return
  busy.add(machine)
  await scene.disturbances.during(machine.name, () => act(machine))
  busy.delete(machine)
}

/** All machines that no other fault has stopped end at once, and start again at once a moment later. */
export const endAll = async (scene: Scene): Promise<void> => {
  const ended = machines(scene).filter(machine => !busy.has(machine))
  const downMs = scene.dice.between(50, 500)
  for (const machine of ended) busy.add(machine)
  await Promise.all(ended.map(machine => scene.disturbances.during(machine.name, async () => {
    await scene.fleet.kill(machine)
    await pause(downMs)
    await scene.fleet.startProcess(machine)
  })))
  for (const machine of ended) busy.delete(machine)
}

const harmed = async ({ dice, proxies, disturbances }: Scene, harm: FaultProxy['harm']): Promise<void> => {
  const proxy = dice.pick(proxies)
  await disturbances.during(everywhere, async () => {
    proxy.harm = harm
    await pause(dice.between(200, 2000))
    proxy.harm = { type: 'none' }
    // What was withheld is not delivered late: the link was cut, not slow.
    if (harm.type !== 'delay') proxy.resetAll()
  })
}

const faulty = async (scene: Scene, fault: BackendStandIn['fault']): Promise<void> => {
  const server = scene.dice.pick([...scene.fleet.engines, ...scene.fleet.plain])
  server.fault = fault
  await pause(scene.dice.between(200, 1500))
  server.fault = 'none'
}

export const faultTable: readonly Fault[] = [
  { name: 'a process is killed', deal: async scene => await withMachine(scene, async machine => await restart(scene, machine, 'SIGKILL')) },
  { name: 'a process is stopped and started', deal: async scene => await withMachine(scene, async machine => await restart(scene, machine, 'SIGTERM')) },
  {
    name: 'a process stands still',
    deal: async scene => await withMachine(scene, async machine => {
      machine.process?.kill('SIGSTOP')
      await pause(scene.dice.between(200, 2500))
      machine.process?.kill('SIGCONT')
    })
  },
  { name: 'the settings are read again', deal: async scene => { scene.dice.pick(machines(scene)).process?.kill('SIGHUP') } },
  { name: 'connections are slow', deal: async scene => await harmed(scene, { type: 'delay', ms: scene.dice.between(20, 300) }) },
  { name: 'connections are reset', deal: async scene => await harmed(scene, { type: 'reset' }) },
  { name: 'connections are silent', deal: async scene => await harmed(scene, { type: 'silence' }) },
  { name: 'answers are cut off', deal: async scene => await harmed(scene, { type: 'one_way' }) },
  { name: 'open connections are reset once', deal: async scene => await scene.disturbances.during(everywhere, async () => scene.dice.pick(scene.proxies).resetAll()) },
  ...(['reset', 'failing', 'shedding', 'torn', 'unsealed', 'foreign', 'mute'] as const).map(fault =>
    ({ name: `a server is ${fault}`, deal: async (scene: Scene) => await faulty(scene, fault) })),
  {
    name: 'the store is away',
    deal: async ({ fleet, dice, disturbances }) => await disturbances.during(storeAway, async () => {
      fleet.store.fault = dice.pick(['busy', 'reset', 'silent'] as const)
      await pause(dice.between(300, 2500))
      fleet.store.fault = 'none'
    })
  },
  { name: 'the store forgets its history', deal: async ({ fleet, disturbances }) => await disturbances.during(storeAway, async () => fleet.store.compact()) },
  { name: 'the configuration changes', deal: async ({ fleet }) => fleet.store.put('config', 'main', fleet.table(fleet.store.writeCount + 100)) },
  {
    name: 'a version is named',
    deal: async ({ fleet, dice }) => {
      const adapter = `a${dice.between(1, 10)}`
      fleet.store.put('versions', `base.${adapter}`, { model: 'base', adapter, version: fleet.store.writeCount })
    }
  },
  {
    name: 'orders are late',
    deal: async ({ fleet, dice }) => {
      const engine = dice.pick(fleet.engines)
      engine.lateOrdersMs = dice.between(300, 2000)
      await pause(dice.between(300, 1500))
      engine.lateOrdersMs = 0
    }
  }
]
