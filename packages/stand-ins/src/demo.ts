/**
 * The demo: the whole path with real processes and stand-ins for everything around the system.
 */
import { Log, ModelName, Revision, ServiceName } from '@finchpitch/core'
import { OperatorClient } from '@finchpitch/operators'
import { hashOfToken } from '@finchpitch/platform'
import { request } from 'undici'
import { EngineServer } from './engine-server.js'
import { MemoryEngine } from './memory-engine.js'
import { MemoryService } from './memory-service.js'
import { PlatformServer } from './platform-server.js'
import { Daemon, operatorToken } from './processes.js'
import { ServiceServer } from './service-server.js'
import { WeightStore } from './weights.js'

const tokens = { fjordtavle: 'fjord-token', quetzal: 'quetzal-token' }

const configuration = {
  teams: [
    { name: 'fjordtavle', tokens: [hashOfToken(tokens.fjordtavle)] },
    { name: 'quetzal', tokens: [hashOfToken(tokens.quetzal)] }
  ],
  models: [{ name: 'base-7b' }],
  services: [{ name: 'booking-ledger', teams: ['fjordtavle'], onStoreOutage: 'ticket' }],
  adapters: [
    { team: 'fjordtavle', name: 'salon', model: 'base-7b', versions: [{ version: 'v1', source: 'weights://salon/v1' }], default: 'v1' },
    {
      team: 'quetzal',
      name: 'statement',
      model: 'base-7b',
      versions: [{ version: 'v3', source: 'weights://statement/v3' }, { version: 'v4', source: 'weights://statement/v4' }],
      aliases: { live: 'v4' },
      default: 'live'
    }
  ]
}

const say = (text: string): boolean => process.stdout.write(`${text}\n`)

const applyConfiguration = async (entry: Daemon): Promise<void> => {
  const client = new OperatorClient({ origin: entry.url('operators'), token: operatorToken })
  const reply = await client.apply({ configuration, base: Revision.parse(0), actor: 'demo', note: 'first configuration' })
  if (reply.isErr() || reply.value.kind !== 'applied') throw new Error(`the configuration was not applied: ${JSON.stringify(reply)}`)
  say(`applied: revision ${reply.value.revision}`)
}

const askStatement = async (entry: Daemon): Promise<void> => {
  const reply = await request(`${entry.url('callers')}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${tokens.quetzal}`, 'content-type': 'application/json', 'finchpitch-class': 'desk' },
    body: JSON.stringify({ model: 'quetzal/statement@v4', stream: true, max_tokens: 6, messages: [{ role: 'user', content: 'Why is a contribution missing?' }] })
  })
  say(`\nstatement request: ${reply.statusCode} ${String(reply.headers['finchpitch-outcome'])}`)
  const text = await reply.body.text()
  say(text.trim())
  if (!text.includes('quetzal/statement@v4') || !text.includes('[DONE]')) throw new Error('the stream is not whole')
}

const book = async (entry: Daemon, service: MemoryService): Promise<void> => {
  for (const attempt of ['first try', 'second try of the same key']) {
    const reply = await request(`${entry.url('callers')}/services/booking-ledger/slots/14-30`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${tokens.fjordtavle}`, 'idempotency-key': 'booking-2041' },
      body: JSON.stringify({ customer: 'Ingrid', at: '14:30' })
    })
    say(`\nbooking change, ${attempt}: ${reply.statusCode} ${String(reply.headers['finchpitch-outcome'])}`)
    say(await reply.body.text())
  }
  say(`the ledger ran ${service.changes.length} change`)
  if (service.changes.length !== 1) throw new Error('the booking did not run exactly once')
}

const run = async (): Promise<void> => {
  const platform = new PlatformServer()
  const weights = new WeightStore({ loadsPerSecond: 9, fullSpeedPlaces: 6, loadMs: 200 })
  const engines = [0, 1].map(() => new EngineServer(new MemoryEngine({ slots: 4, capacity: 16, tokenMs: 15, weights, checksFences: true })))
  const ledger = new ServiceServer(new MemoryService())
  const origin = await platform.start()
  const backends = await Promise.all(engines.map(engine => engine.start()))
  const ledgerOrigin = await ledger.start()

  const serving = { kind: 'model', model: ModelName.parse('base-7b') } as const
  const ledgerServing = { kind: 'service', service: ServiceName.parse('booking-ledger') } as const
  const sides = await Promise.all(backends.map((backend, index) => Daemon.start({
    role: 'side', process: `engine-${index}`, domain: `oslo-${index}`, platform: origin, flags: { backend, model: 'base-7b' }
  })))
  const ledgerSide = await Daemon.start({ role: 'side', process: 'ledger-0', domain: 'oslo-0', platform: origin, flags: { backend: ledgerOrigin, service: 'booking-ledger' } })
  platform.instances = [...sides.map(side => side.instance(serving)), ledgerSide.instance(ledgerServing)]
  const entry = await Daemon.start({ role: 'entry', process: 'entry-0', domain: 'oslo-0', platform: origin })
  platform.instances.push(entry.instance())
  const daemons = [entry, ...sides, ledgerSide]
  say(daemons.map(({ options, listening }) => `${options.process} ${JSON.stringify(listening)}`).join('\n'))

  try {
    await applyConfiguration(entry)
    await askStatement(entry)
    for (const [index, server] of engines.entries()) {
      for (const { label, id } of server.engine.runs) say(`ran on engine-${index}: ${label} (request ${id})`)
    }
    await book(entry, ledger.service)
  } finally {
    const codes = await Promise.all(daemons.map(daemon => daemon.stop()))
    say(`\nstopped with exit codes ${codes.join(', ')}`)
    await Promise.all([platform.stop(), ledger.stop(), ...engines.map(engine => engine.stop())])
  }
}

const log = new Log('demo')
run().catch((error: Error) => {
  log.error('demo.failed', { detail: error.stack })
  process.exitCode = 1
})
