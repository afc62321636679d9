/**
 * Starts an entry instance: connects its parts, opens its listeners, runs its tasks and shuts it down gracefully.
 */
import { readFile } from 'node:fs/promises'
import { Address, newIncarnation, pause, withTimeout, type Log } from '@finchpitch/core'
import { callerRoutes, ticketRoutes } from '@finchpitch/callers'
import { Gateway, type TlsFiles } from '@finchpitch/http'
import { operatorRoutes, processRoutes } from '@finchpitch/operators'
import { Catalog, HttpInstanceList, HttpStore } from '@finchpitch/store'
import { dial, listen } from '@finchpitch/wire'
import type { RunningProcess } from './commands/daemon-command.js'
import { Entry } from './entry/entry.js'
import { Metrics } from './metrics.js'
import { EntryOperations } from './operations.js'
import type { EntrySettings } from './settings.js'
import { awaitClosed } from './shutdown.js'

const random = Math.random

const readTls = async (settings: EntrySettings): Promise<{ tls: TlsFiles } | Record<string, never>> => {
  const { 'tls-key': key, 'tls-cert': cert } = settings
  if (key === undefined || cert === undefined) return {}
  return { tls: { key: await readFile(key, 'utf8'), cert: await readFile(cert, 'utf8') } }
}

export const startEntry = async (settings: EntrySettings, log: Log): Promise<RunningProcess> => {
  const { process, domain, host } = settings
  const store = new HttpStore(settings.platform, settings['platform-token'])
  const catalog = new Catalog('all')
  const metrics = new Metrics()
  let address = Address.parse(`${host}:0`)
  const entry = new Entry({
    process,
    domain,
    store,
    catalog,
    dial,
    log,
    random,
    incarnation: newIncarnation(),
    address: () => address,
    instances: new HttpInstanceList(settings.platform)
  })
  metrics.gauge('finchpitch_requests_running', 'Requests in progress.', () => entry.running)
  metrics.gauge('finchpitch_configuration_revision', 'Configuration revision in force at this process.', () => catalog.revision)

  let stopping = false
  const notReadyReason = (): string | undefined => stopping ? 'stopping' : entry.ready ? undefined : 'no configuration yet'
  const access = { tokenHash: settings['operator-token-hash'] }
  const operations = new EntryOperations({ process, entry, catalog, store, random })
  const setLogLevel = (level: typeof log.level): void => { log.level = level }
  const tls = await readTls(settings)
  const callers = new Gateway({
    name: 'callers',
    host,
    port: settings['caller-port'],
    ...tls,
    routes: {
      ...callerRoutes({ log, serve: (request, signal) => entry.serve(request, signal), onRequestEnd: (request, end) => metrics.ended(request.class, end) }),
      ...ticketRoutes({ issue: request => entry.ticket(request) })
    }
  })
  const operators = new Gateway({
    name: 'operators',
    host,
    port: settings['operator-port'],
    ...tls,
    routes: { ...operatorRoutes(operations, access), ...processRoutes({ notReadyReason, setLogLevel, metrics: () => metrics.print() }, access) }
  })
  const peers = await listen(host, settings['peer-port'], stream => entry.accept(stream))
  address = advertisedAddress(peers.address, settings['advertise-host'])
  await callers.start()
  await operators.start()
  const tasks = entry.run()

  const stop = async (): Promise<void> => {
    stopping = true
    log.info('entry.stopping', { running: entry.running })
    await pause(settings['notice-ms'])
    const drained = await withTimeout(settings['drain-ms'], callers.drain().then(() => true), false)
    log.info('entry.stopped', { whole: drained, running: entry.running })
    entry.close()
    await awaitClosed({ callers: callers.stop(), operators: operators.stop(), peers: peers.close(), tasks }, log)
    await store.close()
  }
  return { listening: { callers: `${host}:${callers.port}`, operators: `${host}:${operators.port}`, peers: address }, stop }
}

/** The address announced to peers, whose host may differ from the one listened on. */
export const advertisedAddress = (bound: Address, host: string | undefined): Address =>
  host === undefined ? bound : Address.parse(`${host}:${bound.slice(bound.lastIndexOf(':') + 1)}`)
