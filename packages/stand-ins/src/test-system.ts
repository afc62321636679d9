/**
 * A small system of real entry and side processes with stand-ins for its dependencies, for the process tests, the demo and the
 * README's examples.
 */
import { ModelName, Revision, ServiceName, type Serving } from '@finchpitch/core'
import { OperatorClient } from '@finchpitch/operators'
import { hashToken } from '@finchpitch/store'
import { request, type Dispatcher } from 'undici'
import { EngineServer } from './engine-server.js'
import { MemoryEngine } from './memory-engine.js'
import { MemoryService } from './memory-service.js'
import { PlatformServer } from './platform-server.js'
import { Daemon, operatorToken, type DaemonOptions } from './daemon.js'
import { eventually } from './fleet/eventually.js'
import { ServiceServer } from './service-server.js'
import { WeightStore } from './weight-store.js'

export const callerTokens = { fjordtavle: 'fjord-token', quetzal: 'quetzal-token' }

const createdStatus = 201
/** A host that needs longer to start the system is too slow to run the tests. */
const maxStartMs = 20_000

/** Two teams with one adapter each, one base model, and one plain service that only one of the teams may use. */
export const testConfiguration = {
  teams: [
    { name: 'fjordtavle', tokens: [hashToken(callerTokens.fjordtavle)] },
    { name: 'quetzal', tokens: [hashToken(callerTokens.quetzal)] }
  ],
  models: [{ name: 'base-7b' }],
  services: [{ name: 'booking-ledger', teams: ['fjordtavle'], onStoreOutage: 'ticket' }],
  adapters: [
    { team: 'fjordtavle', name: 'salon', model: 'base-7b', versions: [{ version: 'v1', source: 'weights/salon/v1' }], default: 'v1' },
    {
      team: 'quetzal',
      name: 'statement',
      model: 'base-7b',
      versions: [{ version: 'v3', source: 'weights/statement/v3' }, { version: 'v4', source: 'weights/statement/v4' }],
      aliases: { live: 'v4' },
      default: 'live'
    }
  ]
}

export interface TestSystemOptions {
  entries?: number
  engines?: number
  entryFlags?: Record<string, string | number>
}

export class TestSystem {
  readonly platform = new PlatformServer()
  readonly weights = new WeightStore({ loadsPerSecond: 50, maxFullSpeedLoads: 6, loadMs: 50 })
  readonly engines: EngineServer[] = []
  readonly ledger = new ServiceServer(new MemoryService())
  readonly daemons = new Map<string, Daemon>()

  private constructor () {}

  /** Starts the stand-ins and the processes, and applies the configuration. Stops them again if that fails. */
  static async start (options: TestSystemOptions = {}): Promise<TestSystem> {
    const system = new TestSystem()
    try {
      await system.#start(options)
      return system
    } catch (error) {
      await system.stop()
      throw error
    }
  }

  async #start ({ entries = 1, engines = 1, entryFlags = {} }: TestSystemOptions): Promise<void> {
    const { weights } = this
    const platform = await this.platform.start()
    await this.ledger.start()
    const starting: Array<Promise<Daemon>> = []
    for (let index = 0; index < engines; index++) {
      const engine = new EngineServer(new MemoryEngine({ slots: 4, capacity: 16, tokenMs: 5, weights, checksFences: true }))
      this.engines.push(engine)
      await engine.start()
      starting.push(this.startEngineSide(`engine-${index}`, index))
    }
    starting.push(this.startLedger('ledger-0'))
    await Promise.all(starting)
    // Entries read the instance list when they start, so the side processes must have been added to it before.
    await Promise.all(Array.from({ length: entries }, (_, index) =>
      this.#add({ role: 'entry', process: `entry-${index}`, domain: `oslo-${index}`, platform, flags: entryFlags })))
    await this.#waitUntilServing()
  }

  /**
   * Applies the configuration and resolves once every entry can reach the ledger. On a busy host, an entry refuses the first requests
   * (503) because a connection takes longer than it waits for one.
   */
  async #waitUntilServing (): Promise<void> {
    await eventually('the configuration is applied', async () => {
      const reply = await this.#apply(testConfiguration, 0)
      return reply.isOk() && (reply.value.kind === 'applied' || reply.value.kind === 'unchanged')
    }, maxStartMs)
    for (const [entry, { options }] of this.daemons) {
      if (options.role !== 'entry') continue
      // A ticket is issued by a connected side process, and runs nothing.
      await eventually(`${entry} reaches the ledger`, async () => {
        const reply = await this.ask('fjordtavle', '/tickets/services/booking-ledger/x', {}, { entry })
        await reply.body.dump()
        return reply.statusCode === createdStatus
      }, maxStartMs)
    }
  }

  daemon (name: string): Daemon {
    const daemon = this.daemons.get(name)
    if (daemon === undefined) throw new Error(`no process named ${name}`)
    return daemon
  }

  operator (entry = 'entry-0'): OperatorClient {
    return new OperatorClient({ origin: this.daemon(entry).url('operators'), token: operatorToken })
  }

  async apply (configuration: unknown, base: number): Promise<number> {
    const reply = (await this.#apply(configuration, base))._unsafeUnwrap()
    if (reply.kind !== 'applied') throw new Error(`not applied: ${JSON.stringify(reply)}`)
    return reply.revision
  }

  #apply (configuration: unknown, base: number): ReturnType<OperatorClient['apply']> {
    return this.operator().apply({ configuration, base: Revision.parse(base), actor: 'ana', note: 'small' })
  }

  /** Sends a request of a team to an entry. */
  async ask (team: keyof typeof callerTokens, path: string, body: unknown, { entry = 'entry-0', headers = {}, signal }: RequestOptions = {}): Promise<Dispatcher.ResponseData> {
    return await request(`${this.daemon(entry).url('callers')}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${callerTokens[team]}`, 'content-type': 'application/json', ...headers },
      body: typeof body === 'string' ? body : JSON.stringify(body),
      ...(signal === undefined ? {} : { signal })
    })
  }

  /** Sends the signal to every process and waits for them to exit. Returns exit codes, or terminating signals, by process name. */
  async stop (signal: NodeJS.Signals = 'SIGKILL'): Promise<Map<string, number | string | null>> {
    const codes = new Map<string, number | string | null>()
    await Promise.all([...this.daemons].map(async ([name, daemon]) => codes.set(name, await daemon.stop(signal))))
    await Promise.all([this.platform.stop(), this.ledger.stop(), ...this.engines.map(engine => engine.stop())])
    return codes
  }

  /** Starts a side process of an engine, given by its index. */
  async startEngineSide (process: string, engine: number): Promise<Daemon> {
    const backend = this.engines[engine]?.origin ?? ''
    return await this.#add({ role: 'side', process, domain: `oslo-${engine}`, platform: this.platform.origin, flags: { backend, model: 'base-7b' } }, { kind: 'model', model: ModelName.parse('base-7b') })
  }

  /** Starts a side process of the ledger. */
  async startLedger (process: string): Promise<Daemon> {
    const flags = { backend: this.ledger.origin, service: 'booking-ledger' }
    return await this.#add({ role: 'side', process, domain: 'oslo-0', platform: this.platform.origin, flags }, { kind: 'service', service: ServiceName.parse('booking-ledger') })
  }

  async #add (options: DaemonOptions, serving?: Serving): Promise<Daemon> {
    const daemon = await Daemon.start(options)
    this.daemons.set(options.process, daemon)
    this.platform.instances.push(daemon.instance(serving))
    return daemon
  }
}

export interface RequestOptions {
  entry?: string
  headers?: Record<string, string>
  signal?: AbortSignal
}
