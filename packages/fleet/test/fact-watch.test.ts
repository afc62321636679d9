import { Log, silentLog } from '@finchpitch/core'
import { Facts, StoreHealth, DutySwitch, watchFacts, watchPauseMs, removalRevisionStep, storeRevision, type BackendServer, type Fact, type FactPage, type FactSource, type StoreFailure } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'

class ScriptedSource implements FactSource {
  constructor (readonly kind: Fact['kind'] = 'version') {}

  readonly calls: string[] = []
  facts: Fact[] = []
  /** The changes that the next watch returns. */
  events: Fact[] = []
  failure: StoreFailure | undefined
  revision = 1
  /** Makes watches hang until they are aborted. */
  hang = false

  async list (): Promise<Result<FactPage, StoreFailure>> {
    this.calls.push('list')
    return this.failure === undefined ? ok({ facts: this.facts, revision: this.revision }) : err(this.failure)
  }

  async changes (revision: number, _waitMs: number, signal: AbortSignal): Promise<Result<FactPage, StoreFailure>> {
    this.calls.push(`changes ${revision}`)
    if (this.hang) {
      await new Promise(resolve => signal.addEventListener('abort', resolve))
      return err({ code: 'unreachable', detail: 'aborted' })
    }
    const page = { facts: this.events, revision: this.revision }
    this.events = []
    return this.failure === undefined ? ok(page) : err(this.failure)
  }
}

const named = (adapter: string, revision: number): Fact =>
  ({ kind: 'version', key: `m/${adapter}`, revision, value: { model: 'm', adapter, version: revision } })

describe('watching one kind of fact', () => {
  let time: FakeTime
  let facts: Facts
  let source: ScriptedSource
  let storeHealth: StoreHealth
  let duty: DutySwitch
  let stop: AbortController

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
    source = new ScriptedSource()
    storeHealth = new StoreHealth()
    duty = new DutySwitch()
    stop = new AbortController()
  })

  afterEach(() => {
    stop.abort()
    time.restore()
  })

  const start = (): void => { void watchFacts({ source, facts, log: silentLog, signal: stop.signal, outage: storeHealth, duty, pauseMs: () => 500 }) }

  it('logs the first listing as one line and later changes each, so that a start writes no line for each server', async () => {
    const lines: Array<Record<string, unknown>> = []
    const log = new Log('listing', {}, 'info', { write: line => lines.push(JSON.parse(line) as Record<string, unknown>) })
    facts = new Facts(log, () => 1000)
    source.facts = [named('a', 1), named('b', 2)]
    source.revision = 2
    start()
    await time.advance(100)
    source.events = [named('b', 3)]
    source.revision = 3
    await time.advance(1000)
    const beliefs = lines.filter(({ event }) => String(event).startsWith('belief.')).map(({ event, kind, count, key, revision, from }) => ({ event, kind, count, key, revision, from }))
    expect(beliefs).to.deep.equal([
      { event: 'belief.listed', kind: 'version', count: 2, key: undefined, revision: 2, from: 'store' },
      { event: 'belief.changed', kind: 'version', count: undefined, key: 'm/b', revision: 3, from: 'store' }
    ])
  })

  it('keeps a fact that a peer sent while an older list was on its way', async () => {
    // A list answered at revision 2 and read later removed what was created at revision 5, at this process and at all its peers.
    source.list = async () => {
      facts.offer(named('new', 5), 'peer')
      return ok({ facts: [named('a', 1)], revision: 2 })
    }
    start()
    await time.advance(50)
    expect(facts.version('m/new')?.version).to.equal(5)
  })

  it('lists once, then watches for changes with pauses in between', async () => {
    source.facts = [named('a', 1)]
    start()
    await time.advance(1100)
    expect(source.calls).to.deep.equal(['list', 'changes 1', 'changes 1'])
    expect(facts.version('m/a')?.version).to.equal(1)
  })

  describe('that other processes watch', () => {
    it('makes no calls, and resumes from the revision that their updates reached', async () => {
      start()
      await time.advance(100)
      duty.setActive(false)
      await time.advance(5000)
      const asked = source.calls.length
      await time.advance(20_000)
      expect(source.calls.length).to.equal(asked)
      facts.markAllComplete({ table: 0, server: 0, version: 40 })
      duty.setActive(true)
      await time.advance(50)
      expect(source.calls.at(-1)).to.equal('changes 40')
    })

    it('lists again if the history is gone when it resumes', async () => {
      start()
      await time.advance(100)
      duty.setActive(false)
      await time.advance(5000)
      source.failure = { code: 'compacted', detail: '' }
      duty.setActive(true)
      await time.advance(50)
      source.failure = undefined
      await time.advance(1000)
      expect(source.calls.filter(call => call === 'list').length).to.be.at.least(2)
    })
  })

  it('reports the store as failing until it answers again', async () => {
    start()
    await time.advance(100)
    expect(storeHealth.failing).to.equal(false)
    source.failure = { code: 'turned_away', detail: '' }
    await time.advance(600)
    expect(storeHealth.failing).to.equal(true)
    source.failure = undefined
    await time.advance(1000)
    expect(storeHealth.failing).to.equal(false)
  })

  it('lists again when the history is gone, and drops facts that are no longer listed', async () => {
    source.facts = [named('a', 1), named('b', 1)]
    start()
    await time.advance(100)
    source.facts = [named('b', 1)]
    source.failure = { code: 'compacted', detail: '' }
    await time.advance(520)
    source.failure = undefined
    await time.advance(1000)
    expect(source.calls.filter(call => call === 'list').length).to.be.at.least(2)
    expect(facts.version('m/a')).to.equal(undefined)
    expect(facts.version('m/b')?.version).to.equal(1)
  })

  it('retries slowly during an outage, and recovers soon after it', async () => {
    start()
    await time.advance(100)
    source.failure = { code: 'turned_away', detail: '' }
    await time.advance(20_000)
    const asked = source.calls.length
    expect(asked).to.be.lessThan(60)
    source.failure = undefined
    await time.advance(1000)
    expect(source.calls.length).to.be.greaterThan(asked)
  })

  it('repeats a hanging watch as soon as another task notices the outage', async () => {
    start()
    await time.advance(100)
    source.hang = true
    await time.advance(3000)
    const asked = source.calls.length
    source.hang = false
    storeHealth.recheck()
    await time.advance(50)
    expect(source.calls.length).to.be.greaterThan(asked)
  })

  it('lists again when another task finds the history gone, although its own watch hangs', async () => {
    start()
    await time.advance(100)
    source.hang = true
    await time.advance(1000)
    source.hang = false
    source.facts = [named('a', 2)]
    storeHealth.noteHistoryLoss()
    await time.advance(50)
    expect(facts.version('m/a')?.version).to.equal(2)
  })

  describe('of servers, after an outage of the store', () => {
    const entry = (id: string, revision: number, value: BackendServer | undefined): Fact => ({ kind: 'server', key: id, revision, value })
    const server = (id: string): BackendServer => ({ id, service: 'llm', address: `10.0.0.1:${id}`, domain: 'a', slots: 8, leaving: false, models: [] })
    const active = (): string[] => facts.eligibleServers('llm').filter(each => !facts.isFallback(each.id)).map(each => each.id)

    beforeEach(async () => {
      source = new ScriptedSource('server')
      source.facts = [entry('1', 1, server('1')), entry('2', 1, server('2'))]
      start()
      await time.advance(100)
      source.failure = { code: 'turned_away', detail: '' }
    })

    it('keeps servers whose records expired until they can have written them again', async () => {
      await time.advance(4000)
      source.failure = undefined
      source.events = [entry('1', 1 + removalRevisionStep, undefined), entry('2', 1 + removalRevisionStep, undefined)]
      await time.advance(1500)
      expect(active()).to.deep.equal(['1', '2'])
      source.events = [entry('1', 8, server('1')), entry('2', 9, server('2'))]
      await time.advance(4000)
      expect(active()).to.deep.equal(['1', '2'])
    })

    it('drops those still missing after that, without keeping them as fallbacks', async () => {
      await time.advance(4000)
      source.failure = undefined
      source.events = [entry('1', 1 + removalRevisionStep, undefined)]
      await time.advance(3200)
      expect(facts.serversOf('llm').map(each => each.id)).to.deep.equal(['2'])
    })

    it('reports itself complete only once deferred removals are applied', async () => {
      await time.advance(4000)
      source.failure = undefined
      source.revision = 60
      source.events = [entry('1', 1 + removalRevisionStep, undefined)]
      await time.advance(1000)
      expect(facts.complete.server).to.equal(1)
      await time.advance(3000)
      expect(facts.complete.server).to.equal(60)
    })

    it('defers removals of servers missing from a list too, if the history is gone', async () => {
      await time.advance(4000)
      source.failure = { code: 'compacted', detail: '' }
      // Longer than the longest backoff between two calls, so that one of them fails with `compacted`.
      await time.advance(900)
      source.failure = undefined
      source.facts = [entry('2', 1, server('2'))]
      await time.advance(500)
      expect(active()).to.deep.equal(['1', '2'])
      await time.advance(3000)
      expect(facts.serversOf('llm').map(each => each.id)).to.deep.equal(['2'])
    })

    it('applies a removal immediately if only a watch\'s connection broke', async () => {
      await time.advance(600)
      source.failure = undefined
      source.events = [entry('1', 1 + removalRevisionStep, undefined)]
      await time.advance(700)
      expect(facts.isFallback('1')).to.equal(true)
    })
  })

  describe('when the store was restored from a backup', () => {
    const restored = (revision: number): number => storeRevision(1, revision)
    const entry = (id: string, revision: number): Fact =>
      ({ kind: 'server', key: id, revision, value: { id, service: 'llm', address: `10.0.0.1:${id}`, domain: 'a', slots: 8, leaving: false, models: [] } })
    const listed = (): string[] => facts.serversOf('llm').map(each => each.id)

    /** Restores the store with only these facts. */
    const restore = async (backup: Fact[]): Promise<void> => {
      source.failure = { code: 'restored', detail: '' }
      await time.advance(520)
      source.failure = undefined
      source.facts = backup
      source.revision = restored(5)
      await time.advance(200)
    }

    it('lists again and makes the other tasks list again', async () => {
      start()
      await time.advance(100)
      const before = storeHealth.historyLosses
      await restore([named('a', restored(1))])
      expect(source.calls.filter(call => call === 'list').length).to.be.at.least(2)
      expect(storeHealth.historyLosses).to.be.greaterThan(before)
      expect(facts.revisionOf('version', 'm/a')).to.equal(restored(1))
    })

    it('keeps a server missing from the backup if it writes its record again in time, and drops it otherwise', async () => {
      source = new ScriptedSource('server')
      source.facts = [entry('1', 8), entry('2', 9)]
      source.revision = 9
      start()
      await time.advance(100)
      await restore([])
      await time.advance(1000)
      expect(listed()).to.deep.equal(['1', '2'])
      expect(facts.complete.server).to.equal(9)
      source.events = [entry('1', restored(6))]
      await time.advance(3000)
      expect(listed()).to.deep.equal(['1'])
      expect(facts.complete.server).to.equal(restored(5))
    })

    it('does not list a removed server again if the backup lists it and a later list lacks it', async () => {
      source = new ScriptedSource('server')
      source.facts = [entry('1', 8), entry('2', 9)]
      source.revision = 9
      start()
      await time.advance(100)
      source.events = [{ kind: 'server', key: '1', revision: 8 + removalRevisionStep, value: undefined, final: true }]
      await time.advance(2000)
      await restore([entry('1', restored(1)), entry('2', restored(2))])
      expect(listed()).to.deep.equal(['2'])
      source.facts = [entry('2', restored(2))]
      storeHealth.noteHistoryLoss()
      await time.advance(10_000)
      facts.expire()
      expect(listed()).to.deep.equal(['2'])
    })

    it('keeps a named version missing from the backup for longer, as operators repeat writes later than servers', async () => {
      source.facts = [named('a', 8)]
      source.revision = 9
      start()
      await time.advance(100)
      await restore([])
      await time.advance(9000)
      expect(facts.version('m/a')?.version).to.equal(8)
      await time.advance(2000)
      expect(facts.version('m/a')).to.equal(undefined)
    })

    it('rejects late answers from before the restore', async () => {
      source.facts = [named('a', 1)]
      start()
      await time.advance(100)
      facts.offer(named('b', restored(2)), 'peer')
      source.facts = []
      await time.advance(5000)
      expect(facts.version('m/b')?.version).to.equal(restored(2))
      expect(source.calls.length).to.be.lessThan(120)
    })
  })

  it('pauses longer if many entries share the work, within the limit for a draining server', () => {
    expect(watchPauseMs('server', 3, 2000)).to.equal(700)
    expect(watchPauseMs('server', 28, 3000)).to.equal(1800)
    expect(watchPauseMs('table', 28, 3000)).to.equal(100)
  })
})
