import { quietLog } from '@finchpitch/core'
import { Facts, removalStep, type BackendServer, type Fact, type RoutingTable } from '@finchpitch/fleet'
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

describe('facts', () => {
  let time: FakeTime
  let facts: Facts
  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1700)
  })
  afterEach(() => time.restore())

  it('takes the newer of two, wherever it came from', () => {
    expect(facts.offer({ kind: 'table', key: 'table', revision: 5, value: table(7) }, 'store')).to.equal(true)
    expect(facts.offer({ kind: 'table', key: 'table', revision: 4, value: table(6) }, 'peer')).to.equal(false)
    expect(facts.routes?.table.version).to.equal(7)
  })

  it('finds the route with the longest prefix, for its host only', () => {
    facts.offer({ kind: 'table', key: 'table', revision: 5, value: table(7) }, 'store')
    expect(facts.routes?.find('A.example', '/x/y/z')?.name).to.equal('long')
    expect(facts.routes?.find('a.example', '/x/z')?.name).to.equal('short')
    expect(facts.routes?.find('b.example', '/x/z')).to.equal(undefined)
    expect(facts.routes?.find('a.example', '/xx')).to.equal(undefined)
  })

  it('tells listeners of changes and not of repeats', () => {
    const seen: number[] = []
    facts.onChange(fact => seen.push(fact.revision))
    facts.offer(serverFact('s', 1, server('s')), 'store')
    facts.offer(serverFact('s', 2, server('s')), 'store')
    facts.offer(serverFact('s', 3, server('s', true)), 'store')
    expect(seen).to.deep.equal([1, 3])
  })

  describe('of a server whose entry vanished', () => {
    it('keeps it in reserve, and lets it come back', async () => {
      facts.offer(serverFact('s', 1, server('s')), 'store')
      facts.offer(serverFact('s', 1 + removalStep, undefined), 'store')
      expect(facts.lapsed('s')).to.equal(true)
      expect(facts.serversOf('llm')).to.have.length(1)
      facts.offer(serverFact('s', 2, server('s')), 'store')
      await time.pass(5000)
      facts.expire()
      expect(facts.lapsed('s')).to.equal(false)
      expect(facts.serversOf('llm')).to.have.length(1)
    })

    it('drops it when it does not come back in time', async () => {
      facts.offer(serverFact('s', 1, server('s')), 'store')
      facts.offer(serverFact('s', 1 + removalStep, undefined), 'store')
      await time.pass(1600)
      facts.expire()
      expect(facts.serversOf('llm')).to.have.length(1)
      await time.pass(200)
      facts.expire()
      expect(facts.serversOf('llm')).to.have.length(0)
    })

    it('drops one that had said it leaves at once', () => {
      facts.offer(serverFact('s', 1, server('s', true)), 'store')
      facts.offer(serverFact('s', 1 + removalStep, undefined), 'store')
      expect(facts.serversOf('llm')).to.have.length(0)
    })
  })

  describe('of a server at another\'s address', () => {
    const ids = (): string[] => facts.serversOf('llm').map(each => each.id)

    it('takes the one before it for gone, though its entry is still there', () => {
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

  describe('of a server that says itself that it leaves', () => {
    const born = (bornAt: number, leaving = false): BackendServer => ({ ...server('s', leaving), bornAt })
    const open = (): string[] => facts.openTo('llm').map(each => each.id)

    beforeEach(() => {
      facts.offer(serverFact('s', 5, born(10)), 'store')
      facts.offer(serverFact('other', 5, server('other')), 'store')
      facts.noteLeaving({ id: 's', bornAt: 10 }, 'answer')
    })

    it('gives it no more work, and tells who waits', () => {
      const told: string[] = []
      facts.onChange(fact => told.push(fact.key))
      expect(open()).to.deep.equal(['other'])
      facts.noteLeaving({ id: 'other', bornAt: undefined }, 'answer')
      facts.noteLeaving({ id: 'other', bornAt: undefined }, 'answer')
      expect(open()).to.deep.equal([])
      expect(told).to.deep.equal(['other'])
    })

    it('believes no entry of that life any more, older, newer or come back after it had vanished', async () => {
      facts.offer(serverFact('s', 4, born(10)), 'peer')
      facts.offer(serverFact('s', 6, born(10)), 'store')
      expect(open()).to.deep.equal(['other'])
      facts.offer(serverFact('s', 6 + removalStep, undefined), 'store')
      await time.pass(5000)
      facts.expire()
      facts.offer(serverFact('s', 9, born(10)), 'store')
      expect(open()).to.deep.equal(['other'])
    })

    it('gives its next life work, of which a late word of the one before says nothing', () => {
      facts.offer(serverFact('s', 9, born(20)), 'store')
      expect(open()).to.have.members(['other', 's'])
      facts.noteLeaving({ id: 's', bornAt: 10 }, 'a late answer')
      expect(open()).to.have.members(['other', 's'])
      facts.noteLeaving({ id: 's', bornAt: 20 }, 'answer')
      expect(open()).to.deep.equal(['other'])
    })

    it('knows it also where the server is listed only later', () => {
      facts.noteLeaving({ id: 'new', bornAt: 7 }, 'its side process')
      facts.offer(serverFact('new', 9, { ...server('new'), bornAt: 7 }), 'peer')
      expect(open()).to.deep.equal(['other'])
    })
  })

  it('never takes back that a server leaves', () => {
    facts.offer(serverFact('s', 1, server('s', true)), 'store')
    facts.offer(serverFact('s', 2, server('s')), 'store')
    expect(facts.servers.get('s')?.leaving).to.equal(true)
  })
})
