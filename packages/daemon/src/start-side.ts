/**
 * Starts a side process: takes a fencing token, connects to the backend server, opens the listeners and shuts down gracefully.
 */
import { Address, backoff, newIncarnation, pause, withTimeout, type Log } from '@finchpitch/core'
import { HttpEngine, HttpService, type Engine, type EngineReport } from '@finchpitch/backend'
import { Gateway } from '@finchpitch/http'
import { processRoutes } from '@finchpitch/operators'
import { Catalog, HttpInstanceList, HttpStore, acquireFencingToken, type Instance, type ObjectStore } from '@finchpitch/store'
import { dial, listen, protocolVersion } from '@finchpitch/wire'
import type { RunningProcess } from './commands/daemon-command.js'
import { Metrics } from './metrics.js'
import { servingFrom, type SideSettings } from './settings.js'
import { awaitClosed } from './shutdown.js'
import { EngineRunner, ServiceRunner, type Runner } from './side/runner.js'
import { SideProcess } from './side/side-process.js'
import { advertisedAddress } from './start-entry.js'
import { keepUplink } from './uplink.js'

const random = Math.random

/**
 * Waits for the store to issue a fencing token. The backend server uses it to reject orders of an earlier incarnation, so a side
 * process can't start without one. `undefined` once `signal` aborts.
 */
const acquireFence = async (store: ObjectStore, name: string, log: Log, signal: AbortSignal): Promise<number | undefined> => {
  for (let failures = 1; !signal.aborted; failures++) {
    const fence = await acquireFencingToken(store, name, random, signal)
    if (fence.isOk()) return fence.value
    log.warn('side.unfenced', { fault: fence.error.code, detail: fence.error.detail })
    await pause(backoff(failures, random), signal)
  }
  return undefined
}

/** Waits for the engine's first report; `undefined` once `signal` aborts. */
const awaitEngineReport = async (engine: Engine, log: Log, signal: AbortSignal): Promise<EngineReport | undefined> => {
  for (let failures = 1; !signal.aborted; failures++) {
    const report = await engine.report()
    if (report.isOk()) return report.value
    log.warn('side.engine_unreachable', { detail: report.error.detail })
    await pause(backoff(failures, random), signal)
  }
  return undefined
}

const makeRunner = async (settings: SideSettings, fence: number, catalog: Catalog, log: Log, signal: AbortSignal): Promise<Runner | undefined> => {
  if (settings.model === undefined) {
    return new ServiceRunner({ service: new HttpService(settings.backend), fence, capacity: settings.capacity, catalog })
  }
  const engine = new HttpEngine(settings.backend)
  const report = await awaitEngineReport(engine, log, signal)
  if (report === undefined) return undefined
  return new EngineRunner({ model: settings.model, engine, fence, report, catalog, log, random })
}

/** Resolves to `undefined`, with nothing started, if `stopRequested` aborts while it waits for the store or the engine. */
export const startSide = async (settings: SideSettings, log: Log, stopRequested: AbortSignal): Promise<RunningProcess | undefined> => {
  const { process, domain, host } = settings
  const store = new HttpStore(settings.platform, settings['platform-token'])
  const catalog = new Catalog('common')
  const metrics = new Metrics()
  const incarnation = newIncarnation()
  const fence = await acquireFence(store, process, log, stopRequested)
  if (fence === undefined) return undefined
  const runner = await makeRunner(settings, fence, catalog, log, stopRequested)
  if (runner === undefined) return undefined
  let address = Address.parse(`${host}:0`)
  const side = new SideProcess({ process, incarnation, domain, address: () => address, serving: servingFrom(settings), runner, catalog, log, epochMs: settings['epoch-ms'] })
  metrics.gauge('finchpitch_requests_running', 'Requests in progress.', () => side.running)
  metrics.gauge('finchpitch_requests_waiting', 'Requests queued for the backend server.', () => runner.queue.waiting)
  if (runner instanceof EngineRunner) {
    const { prefixes, slots } = runner
    metrics.gauge('finchpitch_cached_prefix_blocks', 'Prefix blocks in the engine\'s cache, by its cache events.', () => prefixes.size)
    metrics.gauge('finchpitch_cache_event_gaps', 'Gaps detected in the sequence of cache events.', () => prefixes.gapCount)
    metrics.gauge('finchpitch_adapters_loaded', 'Adapter versions loaded by this side process.', () => slots.labels.length)
  }
  metrics.gauge('finchpitch_keys', 'Idempotency keys remembered.', () => side.idempotencyRecords.size)
  metrics.gauge('finchpitch_kept_answer_bytes', 'Bytes of responses kept for retries with the same idempotency key.', () => side.idempotencyRecords.keptBytes)
  metrics.gauge('finchpitch_configuration_revision', 'Configuration revision in force at this process.', () => catalog.revision)

  const peers = await listen(host, settings['peer-port'], stream => side.accept(stream))
  address = advertisedAddress(peers.address, settings['advertise-host'])
  let stopping = false
  const access = { tokenHash: settings['operator-token-hash'] }
  const setLogLevel = (level: typeof log.level): void => { log.level = level }
  const operators = new Gateway({
    name: 'operators',
    host,
    port: settings['operator-port'],
    routes: processRoutes({ notReadyReason: () => stopping ? 'stopping' : undefined, setLogLevel, metrics: () => metrics.print() }, access)
  })
  await operators.start()

  const shutdown = new AbortController()
  const list = new HttpInstanceList(settings.platform)
  const instances = async (): Promise<Instance[]> => (await list.read()).unwrapOr([])
  const hello = { type: 'hello', protocol: protocolVersion, process, incarnation, address, domain } as const
  const channel = {
    hello: () => ({ ...hello, revision: catalog.revision }),
    heartbeat: () => ({ type: 'heartbeat' as const, revision: catalog.revision })
  }
  const { signal } = shutdown
  const tasks = side.run()
  const uplink = keepUplink({ process, domain, instances, catalog, channel, dial, log, random, signal })

  const stop = async (): Promise<void> => {
    stopping = true
    side.startDraining()
    log.info('side.stopping', { running: side.running })
    const drained = await withTimeout(settings['drain-ms'], side.whenDrained().then(() => true), false)
    log.info('side.stopped', { whole: drained, running: side.running })
    shutdown.abort()
    // Before its channels close: an entry that reconnects at once would send it work that nobody carries out.
    peers.stopAccepting()
    side.close()
    await awaitClosed({ operators: operators.stop(), peers: peers.close(), tasks, uplink }, log)
    await store.close()
  }
  return { listening: { operators: `${host}:${operators.port}`, peers: address, incarnation }, stop }
}
