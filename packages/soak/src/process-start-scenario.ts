/**
 * Starts, stops and signals processes in series and overlapping, concurrently with all other faults: the previous process of a machine
 * still runs while the next one starts, ports are taken, settings are cut off while they are written, signals arrive in bursts and from
 * the spawn on. Finds processes that end by themselves, and entries that say that they are ready without their port.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import { pause } from '@finchpitch/core'
import type { GradualWrite, Machine } from '@finchpitch/stand-ins'
import { withRandomMachine, type FaultContext } from './faults.js'
import { isReady } from './service-watch.js'

const reloadSignals = ['SIGHUP', 'SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const
const stopSignals = ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'] as const
const maxSignalMs = 400
const maxWriteMs = 1000
/** Only a start without this port shows whether readiness waits for it. */
const callersPortWeight = 3
const maxIntervalMs = 900
const pollMs = 50

export class ProcessStartScenario {
  readonly violations = new Set<string>()

  constructor (private readonly context: FaultContext, private readonly log: (line: string) => void) {}

  /** Runs for `ms`; resolves once all processes that it stopped have been started again. */
  async run (ms: number): Promise<void> {
    const { random } = this.context
    const endsAt = performance.now() + ms
    const runs: Array<Promise<void>> = []
    while (performance.now() < endsAt) {
      await pause(random.between(100, maxIntervalMs))
      const [name, act] = random.pick(Object.entries(this.#acts))
      runs.push(withRandomMachine(this.context, async machine => {
        this.log(`${machine.name}: ${name}`)
        await act(machine)
      }))
    }
    await Promise.all(runs)
  }

  readonly #acts: Record<string, (machine: Machine) => Promise<void>> = {
    'the next process starts before the former has exited': async machine => {
      const former = machine.process
      const replaced = this.context.fleet.replaceProcess(machine, this.#upTo(maxSignalMs), this.context.random.pick(['SIGTERM', 'SIGINT'] as const))
      await this.#inSeries(stopSignals, signal => this.context.fleet.signal(former, signal))
      await replaced
    },
    'orders to stop are repeated': async machine => {
      const former = machine.process
      const stopped = this.context.fleet.kill(machine, 'SIGTERM')
      await this.#inSeries(stopSignals, signal => this.context.fleet.signal(former, signal))
      await stopped
      await this.context.fleet.startProcess(machine)
    },
    'kills and starts in series': async machine => {
      for (let left = this.context.random.between(2, 4); left > 0; left--) {
        await this.context.fleet.kill(machine)
        await this.context.fleet.startProcess(machine)
        await pause(this.#upTo(maxSignalMs))
      }
    },
    'signals from the spawn on': async machine => {
      await this.context.fleet.kill(machine)
      await this.context.fleet.startProcess(machine)
      await this.#inSeries(reloadSignals, signal => this.context.fleet.signal(machine.process, signal))
    },
    'a start while the settings are written': async machine => {
      await this.context.fleet.kill(machine)
      await this.context.fleet.startProcess(machine, this.#gradually())
    },
    'signals while the settings are written': async machine => {
      const written = this.context.fleet.writeSettings(machine, this.#gradually())
      await this.#inSeries(reloadSignals, signal => this.context.fleet.signal(machine.process, signal))
      await written
    },
    'a start while a port is taken': async machine => {
      await this.context.fleet.kill(machine)
      await this.#holdPort(machine)
    }
  }

  /** Starts a process while one of its ports is taken for less than the grace period of a former process. */
  async #holdPort (machine: Machine): Promise<void> {
    const { fleet, random } = this.context
    const ports = fleet.listeningPorts(machine)
    const name = random.pick(Object.keys(ports).flatMap(each => each === 'callers' ? Array<string>(callersPortWeight).fill(each) : [each]))
    const holder = createServer(socket => { socket.on('error', () => {}).destroy() }).listen(ports[name], machine.ip)
    await once(holder, 'listening')
    await fleet.startProcess(machine)
    for (let left = random.between(300, 2500); left > 0; left -= pollMs) {
      if (name === 'callers' && await isReady(fleet, machine)) this.violations.add(`${machine.name} said that it is ready while its callers' port was taken`)
      await pause(pollMs)
    }
    holder.close()
  }

  async #inSeries (signals: readonly NodeJS.Signals[], send: (signal: NodeJS.Signals) => void): Promise<void> {
    const spacingMs = this.#upTo(maxSignalMs)
    for (let left = this.context.random.between(1, 8); left > 0; left--) {
      await pause(this.#upTo(spacingMs))
      send(this.context.random.pick(signals))
    }
  }

  #gradually (): GradualWrite {
    return { ms: this.#upTo(maxWriteMs), share: this.#upTo(99) / 100 }
  }

  #upTo (max: number): number {
    return this.context.random.between(0, max)
  }
}
