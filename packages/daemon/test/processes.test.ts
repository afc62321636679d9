import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pause } from '@finchpitch/core'
import { Daemon, TestSystem, daemonCommand, eventually, spawnDaemon, testConfiguration, type DaemonOptions, type SpawnedDaemon } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { request } from 'undici'

interface ErrorReply {
  error: { code: string, message: string, outcome: string }
}

const errorOf = async (reply: Awaited<ReturnType<typeof request>>): Promise<string> => {
  const { error } = await reply.body.json() as ErrorReply
  return `${reply.statusCode} ${error.code} ${error.outcome}`
}

/** Far above the time that a process takes to start on a busy host. */
const startMs = 20_000
/** Where a process listens whose log does not say it. */
const unreadHost = '127.182.0.1'
const unreadPort = 7381
/** Equal signals that arrive together are delivered once. */
const signalIntervalMs = 30

describe('processes', function () {
  this.timeout(60_000)
  let system: TestSystem
  /** Processes that a test has spawned itself. */
  let spawned: SpawnedDaemon[]
  /** What a test of several steps waits for, so that a time-out names it. */
  let step: string

  beforeEach(() => {
    step = ''
    spawned = []
  })

  afterEach(async function () {
    const error = this.currentTest?.err
    if (error !== undefined && step !== '') error.stack = `${error.stack ?? error.message}\n      waiting until ${step}`
    for (const { child } of spawned) child.kill('SIGKILL')
    // Undefined if the first start failed.
    await (system as TestSystem | undefined)?.stop()
  })

  const spawnSide = (options: Omit<DaemonOptions, 'role' | 'domain' | 'platform'>): SpawnedDaemon => {
    const daemon = spawnDaemon({ role: 'side', domain: 'oslo-0', platform: system.platform.origin, ...options })
    spawned.push(daemon)
    return daemon
  }

  describe('invalid requests', () => {
    it('each get a specific error, and the process keeps running', async () => {
      system = await TestSystem.start()
      const chat = '/v1/chat/completions'
      const messages = [{ role: 'user', content: 'hei' }]
      const statement = { model: 'quetzal/statement', prompt: 'x' }
      const replies = [
        await system.ask('quetzal', chat, '{"model": '),
        await system.ask('quetzal', chat, { model: 'no-slash', messages }),
        await system.ask('quetzal', '/v1/completions', { ...statement, model: 'quetzal/nothing' }),
        await system.ask('quetzal', '/v1/completions', { ...statement, model: 'quetzal/statement@v9' }),
        await system.ask('quetzal', '/v1/completions', { ...statement, model: 'fjordtavle/salon' }),
        await system.ask('quetzal', '/v1/completions', statement, { headers: { authorization: 'Bearer wrong' } }),
        await system.ask('quetzal', '/services/booking-ledger/x', {}),
        await system.ask('quetzal', '/v1/completions', statement, { headers: { 'finchpitch-class': 'vip' } }),
        await system.ask('fjordtavle', '/services/booking-ledger/x', {}, { headers: { 'finchpitch-repeatable': 'no' } }),
        await system.ask('fjordtavle', '/services/booking-ledger/x', {}, { headers: { 'idempotency-key': 'tk1/not/a/ticket' } }),
        await system.ask('quetzal', '/v2/nothing', {}),
        await system.ask('quetzal', '/v1/completions', 'x'.repeat(3 * 1024 * 1024))
      ]
      expect(await Promise.all(replies.map(errorOf))).to.deep.equal([
        '400 invalid_body not_run',
        '400 invalid_body not_run',
        '404 unknown_adapter not_run',
        '404 unknown_version not_run',
        '404 unknown_adapter not_run',
        '401 unauthenticated not_run',
        '404 unknown_service not_run',
        '400 invalid_header not_run',
        '400 key_required not_run',
        '400 invalid_header not_run',
        '404 unknown_path not_run',
        '413 body_too_large not_run'
      ])
      expect((await system.ask('quetzal', '/v1/completions', statement)).statusCode).to.equal(200)
    })

    it('close only their own connection when they are corrupt frames', async () => {
      system = await TestSystem.start()
      const [host, port] = (system.daemon('ledger-0').listening.peers ?? '').split(':')
      const socket = connect(Number(port), host)
      socket.on('error', () => {})
      socket.resume()
      socket.write(Buffer.from([0xff, 0xff, 0xff, 0xff, 1, 2, 3]))
      await once(socket, 'close')
      expect((await system.ask('fjordtavle', '/services/booking-ledger/x', {})).statusCode).to.equal(200)
    })
  })

  describe('invalid settings', () => {
    it('are reported together, with exit code 2', async () => {
      system = await TestSystem.start()
      const start = Daemon.start({ role: 'side', process: 'Bad Name', domain: 'zone', platform: 'nowhere', flags: { 'log-level': 'loud', capacity: 0 } })
      const { message } = await start.then(() => { throw new Error('it started') }, (error: Error) => error)
      expect(message).to.contain('ended with 2')
      for (const flag of ['--process', '--platform', '--log-level', '--capacity', '--backend', '--model']) expect(message).to.contain(flag)
    })
  })

  describe('a graceful shutdown', () => {
    for (const stopped of ['engine-0', 'entry-0']) {
      it(`of ${stopped} completes a stream in progress`, async () => {
        system = await TestSystem.start()
        const [engine] = system.engines
        if (engine === undefined) throw new Error('there is an engine')
        engine.engine.tokenMs = 40
        const reply = await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x', stream: true, max_tokens: 20 })
        const exit = system.daemon(stopped).stop('SIGTERM')
        const text = await reply.body.text()
        expect(text).to.contain('statement@v4#1:19 ').and.to.contain('[DONE]')
        expect(await exit).to.equal(0)
      })
    }

    // Guards against a second order to stop that ends the process at once.
    for (const stopped of ['engine-0', 'entry-0']) {
      it(`of ${stopped} completes a stream in progress, though it is ordered again`, async () => {
        system = await TestSystem.start()
        const [engine] = system.engines
        if (engine === undefined) throw new Error('there is an engine')
        engine.engine.tokenMs = 40
        const reply = await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x', stream: true, max_tokens: 20 })
        const daemon = system.daemon(stopped)
        const exit = daemon.stop('SIGTERM')
        for (const signal of ['SIGTERM', 'SIGINT'] as const) {
          await pause(signalIntervalMs)
          daemon.child.kill(signal)
        }
        expect(await reply.body.text()).to.contain('[DONE]')
        expect(await exit).to.equal(0)
      })
    }

    it('of a side process refuses new requests at once, though the instance list still contains it', async () => {
      system = await TestSystem.start()
      const { service } = system.ledger
      let release = (): void => {}
      service.held = new Promise<void>(resolve => { release = resolve })
      const begun = once(service.events, 'change')
      const early = system.ask('fjordtavle', '/services/booking-ledger/x', 'early')
      step = 'the first request has reached the service'
      const answered = early.then(async reply => { throw new Error(`the first request did not reach the service: ${await errorOf(reply)}`) })
      await Promise.race([begun, answered])
      answered.catch(() => {})
      const exit = system.daemon('ledger-0').stop('SIGTERM')
      const refused = []
      // The signal may take a moment to arrive; requests after it are refused as not run.
      do {
        step = `a request is refused, after ${refused.join(', ')}`
        refused.push(await errorOf(await system.ask('fjordtavle', '/services/booking-ledger/x', 'late', { headers: { 'finchpitch-patience-ms': '200' } })))
      } while (refused.at(-1)?.includes('no_backend') === false && refused.at(-1)?.includes('leaving') === false)
      release()
      step = 'the first request is answered'
      expect((await early).statusCode).to.equal(200)
      step = 'the side process has exited'
      expect(await exit).to.equal(0)
    })

    // Guards against a process that never exits: it opened its uplink after SIGTERM and waited for it.
    it('of a side process exits, though it was about to open its uplink', async () => {
      system = await TestSystem.start()
      const { platform } = system
      let release = (): void => {}
      platform.listHeld = new Promise<void>(resolve => { release = resolve })
      const listed = once(platform.events, 'list')
      const side = await system.startLedger('ledger-1')
      step = 'the instance list is read'
      await listed
      const exit = side.stop('SIGTERM')
      step = 'the side process has drained'
      await side.log.find('side.stopped')
      release()
      step = 'the side process has exited'
      expect(await exit).to.equal(0)
    })
  })

  describe('a process that is stopped', () => {
    // Guards against side processes that ignore SIGTERM for as long as the store is away.
    it('while it waits for a fencing token exits', async () => {
      system = await TestSystem.start()
      const { store } = system.platform
      store.down = true
      const { child } = spawnSide({ process: 'ledger-1', flags: { backend: system.ledger.origin, service: 'booking-ledger' } })
      await eventually('the side process asks for its fencing token', () => store.namesRead.has('fences/ledger-1'), startMs)
      const exited = once(child, 'exit')
      child.kill('SIGTERM')
      expect(await exited).to.deep.equal([0, null])
    })

    // Guards against side processes that ignore SIGTERM for as long as their engine is away.
    it('while it waits for its engine exits', async () => {
      system = await TestSystem.start()
      const { child, log } = spawnSide({ process: 'engine-1', flags: { backend: 'http://127.0.0.1:1', model: 'base-7b' } })
      await log.find('side.engine_unreachable')
      const exited = once(child, 'exit')
      child.kill('SIGTERM')
      expect(await exited).to.deep.equal([0, null])
    })

    // Guards against a process that never exits because nobody reads the terminal that it logs to.
    it('while nobody reads its terminal exits', async () => {
      system = await TestSystem.start()
      const folder = await mkdtemp(join(tmpdir(), 'unread-terminal-'))
      const read = async (name: string): Promise<string> => await readFile(join(folder, name), 'utf8').catch(() => '')
      const flags = { host: unreadHost, 'operator-port': unreadPort, backend: system.ledger.origin, service: 'booking-ledger' }
      const command = daemonCommand({ role: 'side', process: 'ledger-1', domain: 'oslo-0', platform: system.platform.origin, flags })
      // The first command fills the terminal. Its other end is written to a pipe that nobody reads.
      const line = `timeout 1 yes; sh -c 'echo $$ > ${folder}/pid; exec "$0" "$@"' ${[process.execPath, ...command].join(' ')}; echo $? > ${folder}/code`
      const terminal = spawn('script', ['--quiet', '--command', line, '/dev/null'], { stdio: ['ignore', 'pipe', 'ignore'] })
      terminal.stdout.pause()
      try {
        await eventually('it answers', async () => await fetch(`http://${unreadHost}:${unreadPort}/`, { signal: AbortSignal.timeout(1000) }).then(() => true, () => false), startMs)
        process.kill(Number(await read('pid')), 'SIGTERM')
        await eventually('it has exited', async () => await read('code') === '0\n', startMs)
      } finally {
        terminal.kill('SIGKILL')
        if (await read('code') === '') process.kill(Number(await read('pid')), 'SIGKILL')
        await rm(folder, { recursive: true })
      }
    })

    // Guards against a side process that never exits because its engine does not answer an order.
    it('while its engine holds an order exits, and names the part that did not close', async () => {
      system = await TestSystem.start()
      const [engine] = system.engines
      if (engine === undefined) throw new Error('there is an engine')
      await (await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x' })).body.dump()
      await system.daemon('engine-0').stop('SIGKILL')
      engine.ordersHeld = new Promise<void>(() => {})
      const ordered = once(engine.events, 'order')
      // It has to fence off its predecessor before it unloads the adapters that it left.
      const side = await system.startEngineSide('engine-1', 0)
      step = 'the engine has received an order'
      await ordered
      step = 'the side process has exited'
      expect(await side.stop('SIGTERM')).to.equal(0)
      expect((await side.log.find('shutdown.incomplete')).open).to.deep.equal(['tasks'])
    })
  })

  describe('a caller that disconnects', () => {
    it('cancels its request at the engine', async () => {
      system = await TestSystem.start()
      const [engine] = system.engines
      if (engine === undefined) throw new Error('there is an engine')
      engine.engine.tokenMs = 50
      const controller = new AbortController()
      const reply = await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x', stream: true, max_tokens: 10_000 }, { signal: controller.signal })
      const ended = once(engine.engine.events, 'end')
      reply.body.on('error', () => {})
      controller.abort()
      await ended
      expect(engine.engine.running).to.equal(0)
    })
  })

  describe('a request with an idempotency key', () => {
    it('runs once if its side process is suspended, the request is retried at another entry, and the process resumes', async () => {
      system = await TestSystem.start({ entries: 2 })
      const { service } = system.ledger
      const headers = { 'idempotency-key': 'booking-7', 'finchpitch-patience-ms': '30000' }
      let release = (): void => {}
      service.held = new Promise<void>(resolve => { release = resolve })
      const begun = once(service.events, 'change')
      const first = system.ask('fjordtavle', '/services/booking-ledger/x', 'ingrid', { headers })
      await begun
      system.daemon('ledger-0').signal('SIGSTOP')
      const second = system.ask('fjordtavle', '/services/booking-ledger/x', 'ingrid', { entry: 'entry-1', headers })
      release()
      system.daemon('ledger-0').signal('SIGCONT')
      const replies = await Promise.all([first, second].map(async reply => await (await reply).body.text()))
      expect(replies[0]).to.equal(replies[1])
      expect(service.changes).to.deep.equal(['ingrid'])
    })

    it('gets the outcome unknown if the process that ran it was killed', async () => {
      system = await TestSystem.start()
      const { service } = system.ledger
      service.held = new Promise<void>(() => {})
      const headers = { 'idempotency-key': 'booking-8', 'finchpitch-patience-ms': '5000' }
      const begun = once(service.events, 'change')
      const first = system.ask('fjordtavle', '/services/booking-ledger/x', 'kari', { headers })
      await begun
      await system.daemon('ledger-0').stop('SIGKILL')
      expect(await errorOf(await first)).to.match(/unknown$/)
      expect(await errorOf(await system.ask('fjordtavle', '/services/booking-ledger/x', 'kari', { headers }))).to.match(/unknown$/)
      expect(service.changes).to.deep.equal(['kari'])
    })

    it('runs with a ticket while the store is down', async () => {
      system = await TestSystem.start()
      const { store } = system.platform
      store.down = true
      const path = '/services/booking-ledger/x'
      const refused = await system.ask('fjordtavle', path, 'ola', { headers: { 'idempotency-key': 'booking-9', 'finchpitch-first-try': 'yes' } })
      const { error } = await refused.body.json() as { error: { outcome: string, ticket: string } }
      expect(error.outcome).to.equal('not_run')
      const reply = await system.ask('fjordtavle', path, 'ola', { headers: { 'idempotency-key': error.ticket } })
      expect([reply.statusCode, system.ledger.service.changes]).to.deep.equal([200, ['ola']])
    })
  })

  describe('an engine', () => {
    it('that breaks off a stream is asked to resume it at the next token', async () => {
      system = await TestSystem.start()
      const [engine] = system.engines
      if (engine === undefined) throw new Error('there is an engine')
      engine.streamsToCut = 1
      const reply = await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x', stream: true, max_tokens: 8 })
      const tokens = [...(await reply.body.text()).matchAll(/#1:(\d+) /g)].map(([, token]) => Number(token))
      expect(tokens).to.deep.equal([0, 1, 2, 3, 4, 5, 6, 7])
      expect(engine.engine.runs).to.have.length(1)
    })

    it('that restarts without adapters is detected, and the adapter is loaded again', async () => {
      system = await TestSystem.start()
      const [engine] = system.engines
      const statement = { model: 'quetzal/statement', prompt: 'x' }
      await (await system.ask('quetzal', '/v1/completions', statement)).body.dump()
      engine?.engine.restart()
      const reply = await system.ask('quetzal', '/v1/completions', statement)
      expect(await reply.body.text()).to.contain('quetzal/statement@v4')
    })
  })

  describe('the operators\' listener', () => {
    it('serves health, readiness and metrics, and sets the log level', async () => {
      system = await TestSystem.start()
      const operators = system.daemon('entry-0').url('operators')
      const [health, ready, metrics] = await Promise.all(['/healthz', '/readyz', '/metrics'].map(async path => await (await request(`${operators}${path}`)).body.text()))
      expect([health, ready]).to.deep.equal(['ok\n', 'ready\n'])
      expect(metrics).to.contain('finchpitch_configuration_revision 1')
      expect((await system.operator().setLogLevel({ level: 'debug' }))._unsafeUnwrap().level).to.equal('debug')
    })

    it('counts the cached prefixes that an engine reports', async () => {
      system = await TestSystem.start()
      const metrics = async (): Promise<string> => await (await request(`${system.daemon('engine-0').url('operators')}/metrics`)).body.text()
      do await (await system.ask('quetzal', '/v1/completions', { model: 'quetzal/statement', prompt: 'x', max_tokens: 1 })).body.dump()
      while (!(await metrics()).includes('finchpitch_cached_prefix_blocks 1'))
    })

    it('rejects operators\' calls with a caller\'s token', async () => {
      system = await TestSystem.start()
      const reply = await request(`${system.daemon('entry-0').url('operators')}/operator/v1/configuration`, { headers: { authorization: 'Bearer fjord-token' } })
      expect(await errorOf(reply)).to.equal('401 unauthenticated not_run')
    })
  })

  describe('a configuration change', () => {
    it('takes effect at every process after it was accepted', async () => {
      system = await TestSystem.start({ entries: 2 })
      const teams = testConfiguration.teams.map(team => ({ ...team, weight: 2 }))
      await system.apply({ ...testConfiguration, teams }, 1)
      const metricsOf = async (name: string): Promise<string> => await (await request(`${system.daemon(name).url('operators')}/metrics`)).body.text()
      for (const name of system.daemons.keys()) {
        while (!(await metricsOf(name)).includes('finchpitch_configuration_revision 2')) { /* polls until it is or the test times out */ }
      }
    })
  })
})
