/**
 * The environment of a measurement: entries and side processes as processes of their own, so that the kernel counts their CPU
 * time and memory; stand-ins for the platform and the backend servers inside the benchmark's process.
 */
import { ModelName, Revision, ServiceName, type Serving } from '@finchpitch/core'
import { OperatorClient } from '@finchpitch/operators'
import { hashToken } from '@finchpitch/store'
import { Daemon, EngineServer, MemoryEngine, MemoryService, PlatformServer, ServiceServer, WeightStore, operatorToken } from '@finchpitch/stand-ins'

export const callerToken = 'bench-token'
export const serving = {
  model: { kind: 'model', model: ModelName.parse('base-7b') } as const,
  service: { kind: 'service', service: ServiceName.parse('ledger') } as const
}

export const benchConfiguration = (adapters: number): unknown => ({
  teams: [{ name: 'bench', tokens: [hashToken(callerToken)], limits: { rate: 1e6, concurrency: 1e6 } }],
  models: [{ name: 'base-7b' }],
  services: [{ name: 'ledger', teams: ['bench'] }],
  adapters: Array.from({ length: adapters }, (_, index) => ({
    team: 'bench', name: `a${index}`, model: 'base-7b', versions: [{ version: 'v1', source: `weights/bench/a${index}/v1` }], aliases: { live: 'v1' }, default: 'live'
  }))
})

export class BenchCluster {
  readonly platform = new PlatformServer()
  readonly engine = new EngineServer(new MemoryEngine({
    slots: 8, capacity: 1024, tokenMs: 1, checksFences: true, weights: new WeightStore({ loadsPerSecond: 1000, maxFullSpeedLoads: 100, loadMs: 1 })
  }))

  readonly ledger = new ServiceServer(new MemoryService())
  readonly daemons: Daemon[] = []
  origins = { platform: '', engine: '', ledger: '' }

  async start (): Promise<void> {
    this.origins = { platform: await this.platform.start(), engine: await this.engine.start(), ledger: await this.ledger.start() }
  }

  async entry (name: string): Promise<Daemon> {
    return await this.#add({ role: 'entry', process: name, domain: 'zone-1', platform: this.origins.platform, flags: { 'log-level': 'error' } })
  }

  async engineSide (name: string): Promise<Daemon> {
    return await this.#add({ role: 'side', process: name, domain: 'zone-1', platform: this.origins.platform, flags: { 'log-level': 'error', backend: this.origins.engine, model: 'base-7b' } }, serving.model)
  }

  async serviceSide (name: string): Promise<Daemon> {
    return await this.#add({ role: 'side', process: name, domain: 'zone-1', platform: this.origins.platform, flags: { 'log-level': 'error', backend: this.origins.ledger, service: 'ledger', capacity: 1024 } }, serving.service)
  }

  async apply (entry: Daemon, configuration: unknown, base: number): Promise<number> {
    const client = new OperatorClient({ origin: entry.url('operators'), token: operatorToken })
    const reply = (await client.apply({ configuration, base: Revision.parse(base), actor: 'bench', note: '' }))._unsafeUnwrap()
    if (reply.kind !== 'applied') throw new Error(`configuration not applied: ${JSON.stringify(reply)}`)
    return reply.revision
  }

  async stop (): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop('SIGKILL')))
    await Promise.all([this.platform.stop(), this.engine.stop(), this.ledger.stop()])
  }

  async #add (options: Parameters<typeof Daemon.start>[0], served?: Serving): Promise<Daemon> {
    const daemon = await Daemon.start(options)
    this.daemons.push(daemon)
    this.platform.instances = [...this.platform.instances, daemon.instance(served)]
    return daemon
  }
}
