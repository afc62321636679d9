import { silentLog } from '@finchpitch/core'
import { Facts, removalRevisionStep, storeRevision, type BackendServer, type Fact, type NamedVersion, type RoutingTable } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const server = (id: string, leaving = false, address = `10.0.0.1:${id}`): BackendServer =>
  ({ id, service: 'llm', address, domain: 'a', slots: 8, leaving, models: [] })
const serverFact = (id: string, revision: number, value: BackendServer | undefined): Fact => ({ kind: 'server', key: id, revision, value })

const table = (version: number): RoutingTable => ({
  version,
  routes: [
    { name: 'short', host: 'a.example', pathPrefix: '/x/', kind: 'once', timeoutMs: 1000, objectiveMs: 100, priority: 0, maxAttempts: 1, resumable: false, targets: [{ service: 'one', weight: 1 }] },
    { name: 'long', host: 'a.example', pathPrefix: '/x/y/', kind: 'once', timeoutMs: 1000, objectiveMs: 100, priority: 0, maxAttempts: 1, resumable: false, targets: [{ service: 'two', weight: 1 }] }
  ],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

describe('Facts', () => {
  let time: FakeTime
  let facts: Facts
  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1700)
  })
  afterEach(() => time.restore())

  it('keeps the newer of two facts, whichever source each came from', () => {
    expect(facts.offer({ kind: 'table', key: 'table', revision: 5, value: table(7) }, 'store')).to.equal(true)
    expect(facts.offer({ kind: 'table', key: 'table', revision: 4, value: table(6) }, 'peer')).to.equal(false)
    expect(facts.routes?.table.version).to.equal(7)
  })

  it('finds the route with the longest matching prefix for the host', () => {
    facts.offer({ kind: 'table', key: 'table', revision: 5, value: table(7) }, 'store')
    expect(facts.routes?.find('A.example', '/x/y/z')?.name).to.equal('long')
    expect(facts.routes?.find('a.example', '/x/z')?.name).to.equal('short')
    expect(facts.routes?.find('b.example', '/x/z')).to.equal(undefined)
    expect(facts.routes?.find('a.example', '/xx')).to.equal(undefined)
  })

  describe('that are complete up to a revision', () => {
    const ids = (): string[] => facts.eligibleServers('llm').map(each => each.id)
    beforeEach(() => {
      facts.offer(serverFact('listed', 50, server('listed')), 'store', 200)
      facts.markComplete('server', 200, 200)
    })

    it('take no server from a peer that was removed before, whose older record was delayed on its way', () => {
      expect(facts.offer(serverFact('removed', 100, server('removed')), 'peer')).to.equal(false)
      facts.markComplete('server', 300)
      expect(ids()).to.deep.equal(['listed'])
    })

    it('take no server from a list of their own that was read earlier', () => {
      expect(facts.offer(serverFact('removed', 100, server('removed')), 'store', 190)).to.equal(false)
    })

    it('take a server that has been added or listed again since', () => {
      facts.offer(serverFact('added', 210, server('added')), 'peer')
      facts.offer(serverFact('found', 40, server('found')), 'store', 220)
      expect(ids()).to.deep.equal(['listed', 'added', 'found'])
    })

    it('are not confirmed by a peer that has read less, such as a side process that has just started', async () => {
      const before = facts.serversConfirmedAt
      await time.advance(1000)
      facts.markAllComplete({ table: 0, server: 0, version: 0 })
      facts.markAllComplete({ table: 0, server: 150, version: 0 })
      expect(facts.serversConfirmedAt).to.equal(before)
      facts.markAllComplete({ table: 0, server: 200, version: 0 })
      expect(facts.serversConfirmedAt).to.equal(before + 1000)
    })

    describe('and get a list of a peer that started right after', () => {
      const list = (revision: number): void => facts.applyListing({ kind: 'server', revision, keys: [] }, 'peer')

      it('an outage keep servers whose records expired in it until these can have been written again', async () => {
        facts.setSight('blind')
        await time.advance(1000)
        facts.setSight('reading')
        list(250)
        expect(facts.isFallback('listed')).to.equal(false)
        await time.advance(2100)
        expect(facts.isFallback('listed')).to.equal(true)
      })

      it('an outage count as complete only once they have applied it, as others would take over the servers that it lacks', async () => {
        facts.setSight('blind')
        list(250)
        facts.markAllComplete({ table: 0, server: 260, version: 260 })
        expect(facts.complete).to.include({ server: 200, version: 260 })
        await time.advance(2100)
        facts.markAllComplete({ table: 0, server: 270, version: 270 })
        expect(facts.complete).to.include({ server: 270, version: 270 })
      })

      it('a restore keep servers until these can have been written again, and named versions that only peers know', async () => {
        facts.markComplete('version', storeRevision(1, 100), storeRevision(1, 100))
        facts.offer({ kind: 'version', key: 'm/a', revision: 150, value: { model: 'm', adapter: 'a', version: 3 } }, 'peer')
        expect(facts.version('m/a')?.version).to.equal(3)
        list(storeRevision(1, 100))
        expect(facts.isFallback('listed')).to.equal(false)
        facts.offer(serverFact('listed', storeRevision(1, 110), server('listed')), 'store')
        await time.advance(2100)
        expect(facts.isFallback('listed')).to.equal(false)
      })
    })

    it('take a change of a server that they know', () => {
      facts.offer(serverFact('listed', 60, server('listed', true)), 'peer')
      expect(ids()).to.deep.equal([])
    })
  })

  it('notifies listeners of changed values, not of repeated ones', () => {
    const seen: number[] = []
    facts.onChange(fact => seen.push(fact.revision))
    facts.offer(serverFact('s', 1, server('s')), 'store')
    facts.offer(serverFact('s', 2, server('s')), 'store')
    facts.offer(serverFact('s', 3, server('s', true)), 'store')
    expect(seen).to.deep.equal([1, 3])
  })

  describe('when several facts are applied as a batch', () => {
    it('calls listeners for each fact, and those of the whole batch once', () => {
      // Reconciling after each server of a listing took time that grows with the square of their number.
      const seen: string[] = []
      facts.onChange(fact => seen.push(fact.key))
      facts.onSettled(kinds => seen.push(`settled: ${[...kinds].join()}`))
      facts.batch(() => {
        facts.offer(serverFact('s', 1, server('s')), 'store')
        facts.offer(serverFact('t', 2, server('t')), 'store')
      })
      expect(seen).to.deep.equal(['s', 't', 'settled: server'])
    })

    it('calls listeners of the batch after a failure within it, which would otherwise hide the facts before it', () => {
      let settled = 0
      facts.onSettled(() => { settled += 1 })
      expect(() => facts.batch(() => {
        facts.offer(serverFact('s', 1, server('s')), 'store')
        throw new Error('no further facts')
      })).to.throw('no further facts')
      facts.offer(serverFact('t', 2, server('t')), 'store')
      expect(settled).to.equal(2)
    })
  })

  describe('when the store was restored from a backup', () => {
    /** A revision after the restore. */
    const restored = (revision: number): number => storeRevision(1, revision)
    const tableFact = (revision: number, version: number): Fact => ({ kind: 'table', key: 'table', revision, value: table(version) })
    const versionFact = (revision: number, value: NamedVersion): Fact => ({ kind: 'version', key: 'm/a', revision, value })
    const open = (): string[] => facts.eligibleServers('llm').map(each => each.id)

    it('accepts a newer routing table with a lower revision in the store', () => {
      facts.offer(tableFact(94, 22), 'store')
      facts.offer(tableFact(restored(90), 24), 'store')
      expect(facts.routes?.table.version).to.equal(24)
    })

    it('keeps the routing table until the older one from the backup is replaced', () => {
      facts.offer(tableFact(94, 22), 'store')
      facts.offer(tableFact(restored(80), 18), 'store')
      expect(facts.routes?.table.version).to.equal(22)
      facts.offer(tableFact(restored(81), 22), 'store')
      facts.offer(tableFact(94, 22), 'peer')
      facts.offer(tableFact(restored(82), 24), 'store')
      expect(facts.routes?.table.version).to.equal(24)
    })

    it('keeps a named version until the older one from the backup is replaced', () => {
      const named = (version: number): NamedVersion => ({ model: 'm', adapter: 'a', version })
      facts.offer(versionFact(94, named(3)), 'store')
      facts.offer(versionFact(restored(80), named(2)), 'store')
      expect(facts.version('m/a')?.version).to.equal(3)
      facts.offer(versionFact(restored(81), named(4)), 'store')
      expect(facts.version('m/a')?.version).to.equal(4)
    })

    it('accepts a version that is named again after its removal', () => {
      facts.offer(versionFact(90, { model: 'm', adapter: 'a', version: 3 }), 'store')
      facts.offer({ kind: 'version', key: 'm/a', revision: 90 + removalRevisionStep, value: undefined }, 'store')
      facts.offer(versionFact(restored(95), { model: 'm', adapter: 'a', version: 4 }), 'store')
      expect(facts.version('m/a')?.version).to.equal(4)
    })

    it('sends no requests to a draining server that the backup lists as ready', () => {
      facts.offer(serverFact('s', 94, server('s', true)), 'store')
      facts.offer(serverFact('s', restored(80), server('s')), 'store')
      expect(open()).to.deep.equal([])
    })

    describe('and lists a removed server', () => {
      beforeEach(() => {
        facts.offer(serverFact('s', 90, server('s')), 'store')
        facts.remove(serverFact('s', 90 + removalRevisionStep, undefined), 'store')
        facts.offer(serverFact('s', restored(80), server('s')), 'store')
      })

      it('sends it no requests and does not report itself complete to peers until the record expires', async () => {
        facts.markComplete('server', restored(85))
        expect(open()).to.deep.equal([])
        expect(facts.complete.server).to.equal(0)
        facts.offer(serverFact('s', restored(80) + removalRevisionStep, undefined), 'store')
        facts.markComplete('server', restored(86))
        await time.advance(20_000)
        facts.expire()
        expect(open()).to.deep.equal([])
        expect(facts.complete.server).to.equal(restored(86))
      })

      it('sends it requests once it has written its record again', () => {
        facts.offer(serverFact('s', restored(87), server('s')), 'store')
        expect(open()).to.deep.equal(['s'])
      })

      it('sends it requests if the record does not expire', async () => {
        await time.advance(4900)
        facts.expire()
        expect(open()).to.deep.equal([])
        await time.advance(200)
        facts.expire()
        expect(open()).to.deep.equal(['s'])
      })
    })

    it('keeps a server if the backup lists an earlier one at its address', () => {
      const bornAt = (id: string, at: number): BackendServer => ({ ...server(id, false, '10.0.0.1:80'), bornAt: at })
      facts.offer(serverFact('new', 94, bornAt('new', 20)), 'store')
      facts.offer(serverFact('old', restored(30), bornAt('old', 10)), 'store')
      expect(open()).to.deep.equal(['new'])
    })

    it('proves neither a table newer than the backup\'s nor any table before lost writes can have been repeated', async () => {
      facts.offer(tableFact(94, 22), 'store')
      facts.offer(tableFact(restored(80), 18), 'store')
      await time.advance(2100)
      facts.proveTable(performance.now(), restored(85))
      expect(facts.freshness.provenAt).to.equal(-Infinity)
      facts.offer(tableFact(restored(86), 22), 'store')
      facts.proveTable(performance.now(), restored(86))
      expect(facts.freshness.provenAt).to.equal(performance.now())
      facts.observeRevision(storeRevision(2, 40))
      facts.offer(tableFact(storeRevision(2, 30), 22), 'store')
      const before = facts.freshness.provenAt
      await time.advance(1900)
      facts.proveTable(performance.now(), storeRevision(2, 40))
      expect(facts.freshness.provenAt).to.equal(before)
      await time.advance(200)
      facts.proveTable(performance.now(), storeRevision(2, 40))
      expect(facts.freshness.provenAt).to.equal(performance.now())
    })
  })

  // A process that has read only the backup must not reject routes whose writes were lost and not yet repeated.
  describe('when the store was restored before this process started', () => {
    beforeEach(() => { facts.offer({ kind: 'table', key: 'table', revision: storeRevision(1, 80), value: table(18) }, 'store') })

    it('proves no table before lost writes can have been repeated', async () => {
      facts.proveTable(performance.now(), storeRevision(1, 85))
      expect(facts.freshness.provenAt).to.equal(-Infinity)
      await time.advance(2100)
      facts.proveTable(performance.now(), storeRevision(1, 85))
      expect(facts.freshness.provenAt).to.equal(performance.now())
    })

    it('rejects the proof of a peer that has not seen the restore', () => {
      facts.freshness.accept({ type: 'fresh', stamp: performance.now(), ageMs: 0, revision: 94 }, storeRevision(1, 80))
      expect(facts.freshness.provenAt).to.equal(-Infinity)
    })

    it('accepts a peer\'s proof immediately', () => {
      facts.freshness.accept({ type: 'fresh', stamp: performance.now(), ageMs: 0, revision: storeRevision(1, 80) }, storeRevision(1, 80))
      expect(facts.freshness.provenAt).to.equal(performance.now())
    })
  })

  describe('when a server\'s record vanishes', () => {
    it('keeps the server as a fallback, and lists it again when its record comes back', async () => {
      facts.offer(serverFact('s', 1, server('s')), 'store')
      facts.offer(serverFact('s', 1 + removalRevisionStep, undefined), 'store')
      expect(facts.isFallback('s')).to.equal(true)
      expect(facts.serversOf('llm')).to.have.length(1)
      facts.offer(serverFact('s', 2, server('s')), 'store')
      await time.advance(5000)
      facts.expire()
      expect(facts.isFallback('s')).to.equal(false)
      expect(facts.serversOf('llm')).to.have.length(1)
    })

    it('offers the server no longer than that if the process stalls and does not expire it', async () => {
      facts.offer(serverFact('s', 1, server('s')), 'store')
      facts.offer(serverFact('s', 1 + removalRevisionStep, undefined), 'store')
      expect(facts.eligibleServers('llm')).to.have.length(1)
      await time.advance(1800)
      expect(facts.eligibleServers('llm')).to.have.length(0)
    })

    it('drops the server if its record does not come back in time', async () => {
      facts.offer(serverFact('s', 1, server('s')), 'store')
      facts.offer(serverFact('s', 1 + removalRevisionStep, undefined), 'store')
      await time.advance(1600)
      facts.expire()
      expect(facts.serversOf('llm')).to.have.length(1)
      await time.advance(200)
      facts.expire()
      expect(facts.serversOf('llm')).to.have.length(0)
    })

    it('drops a draining server immediately', () => {
      facts.offer(serverFact('s', 1, server('s', true)), 'store')
      facts.offer(serverFact('s', 1 + removalRevisionStep, undefined), 'store')
      expect(facts.serversOf('llm')).to.have.length(0)
    })
  })

  describe('when two servers have the same address', () => {
    const ids = (): string[] => facts.serversOf('llm').map(each => each.id)

    it('drops the earlier one, although its record still exists', () => {
      facts.offer(serverFact('old', 1, server('old', false, '10.0.0.1:80')), 'store')
      facts.offer(serverFact('new', 2, server('new', false, '10.0.0.1:80')), 'store')
      expect(ids()).to.deep.equal(['new'])
    })

    it('does so in whichever order it learns of them', () => {
      facts.offer(serverFact('new', 2, server('new', false, '10.0.0.1:80')), 'store')
      facts.offer(serverFact('old', 1, server('old', false, '10.0.0.1:80')), 'peer')
      expect(ids()).to.deep.equal(['new'])
    })
  })

  describe('when a server announces that it is draining', () => {
    const born = (bornAt: number, leaving = false): BackendServer => ({ ...server('s', leaving), bornAt })
    const open = (): string[] => facts.eligibleServers('llm').map(each => each.id)

    beforeEach(() => {
      facts.offer(serverFact('s', 5, born(10)), 'store')
      facts.offer(serverFact('other', 5, server('other')), 'store')
      facts.markDraining({ id: 's', bornAt: 10 }, 'answer')
    })

    it('sends it no more requests, and notifies listeners', () => {
      const notified: string[] = []
      facts.onChange(fact => notified.push(fact.key))
      expect(open()).to.deep.equal(['other'])
      facts.markDraining({ id: 'other', bornAt: undefined }, 'answer')
      facts.markDraining({ id: 'other', bornAt: undefined }, 'answer')
      expect(open()).to.deep.equal([])
      expect(notified).to.deep.equal(['other'])
    })

    it('ignores all records of that incarnation: older, newer or reappearing after they vanished', async () => {
      facts.offer(serverFact('s', 4, born(10)), 'peer')
      facts.offer(serverFact('s', 6, born(10)), 'store')
      expect(open()).to.deep.equal(['other'])
      facts.offer(serverFact('s', 6 + removalRevisionStep, undefined), 'store')
      await time.advance(5000)
      facts.expire()
      facts.offer(serverFact('s', 9, born(10)), 'store')
      expect(open()).to.deep.equal(['other'])
    })

    it('sends requests to its next incarnation, despite a late announcement of the previous one', () => {
      facts.offer(serverFact('s', 9, born(20)), 'store')
      expect(open()).to.have.members(['other', 's'])
      facts.markDraining({ id: 's', bornAt: 10 }, 'late answer')
      expect(open()).to.have.members(['other', 's'])
      facts.markDraining({ id: 's', bornAt: 20 }, 'answer')
      expect(open()).to.deep.equal(['other'])
    })

    it('applies the announcement to a server that is listed only later', () => {
      facts.markDraining({ id: 'new', bornAt: 7 }, 'side process')
      facts.offer(serverFact('new', 9, { ...server('new'), bornAt: 7 }), 'peer')
      expect(open()).to.deep.equal(['other'])
    })
  })

  it('never reverts draining', () => {
    facts.offer(serverFact('s', 1, server('s', true)), 'store')
    facts.offer(serverFact('s', 2, server('s')), 'store')
    expect(facts.servers.get('s')?.leaving).to.equal(true)
  })
})
