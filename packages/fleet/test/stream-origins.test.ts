import { silentLog } from '@finchpitch/core'
import { KeeperHistory } from '@finchpitch/decisions'
import { Facts, SoftwareVersions, StreamOrigins, StreamRegistry, nowMs, streamWindowMs, type BackendServer, type Fact, type ReportTarget } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { maxRequestIdLength, type Channel, type FrameOf, type StreamRecord } from '@finchpitch/wire'
import { expect } from 'chai'

const service = 'engines'
const domains = ['a', 'b', 'c']
const keepersPerDomain = 2

type Report = FrameOf<'crashes'>

describe('records of the software versions of streams', () => {
  let time: FakeTime
  let facts: Facts
  let origins: StreamOrigins
  let registries: Map<string, StreamRegistry>
  let frames: Array<{ host: string, frame: Report }>
  /** Hosts of side processes that do not answer. */
  let silent: Set<string>
  let revision: number
  /** What the store answers an entry that asks for the servers that were listed since those that it knows. */
  let storeAnswer: (known: Facts) => Promise<BackendServer[] | undefined>

  let hosts: ReportTarget[]
  /** The side processes that were listed, as side processes know them. */
  let keepers: KeeperHistory
  const newHosts = (): ReportTarget[] => domains.flatMap(domain => Array.from({ length: keepersPerDomain }, (_, index) => ({ host: `${domain}${index}`, domain, responsive: true })))

  const list = (id: string, softwareVersion: string): void => {
    const fact: Fact = { kind: 'server', key: id, revision: revision += 1, value: { id, service, address: `${id}:1`, domain: 'a', softwareVersion, slots: 1, leaving: false, models: [] } }
    facts.offer(fact, 'store')
  }

  /** The entry of a failure domain, which knows the same list of servers. */
  const newEntry = (domain: string, known = facts): StreamOrigins => {
    const entry: StreamOrigins = new StreamOrigins({
      domain,
      versions: new SoftwareVersions(known),
      prover: { listedSince: async () => await storeAnswer(known) },
      sideProcesses: () => hosts,
      channelTo: host => ({
        send: (frame: Report) => {
          frames.push({ host, frame })
          if (silent.has(host)) return true
          const answers = { send: (answer: FrameOf<'crashes_noted'>) => { setTimeout(() => entry.handleAnswer(host, answer.stamp, answer.stream ?? {}), 1) } }
          registries.get(host)?.handle(answers as unknown as Channel, frame)
          return true
        }
      }) as unknown as Channel,
      log: silentLog
    })
    return entry
  }

  const listHosts = (listed: ReportTarget[]): void => {
    hosts = listed
    keepers.list(hosts, nowMs())
  }

  /** Confirms the list of servers every second, as a process in touch does. */
  const follow = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 1000) {
      await time.advance(1000)
      facts.markComplete('server', revision)
      for (const registry of registries.values()) registry.handle({ send: () => true } as unknown as Channel, { type: 'crashes', stamp: 0, crashes: [], sound: [], askStream: [service, ''] })
      origins.record(service, `followed-${passed}`, 'v1')
    }
    frames = []
  }

  beforeEach(async () => {
    time = new FakeTime()
    hosts = newHosts()
    facts = new Facts(silentLog, () => 1000)
    frames = []
    silent = new Set()
    storeAnswer = async () => undefined
    revision = 0
    keepers = new KeeperHistory({ windowMs: streamWindowMs })
    listHosts(newHosts())
    registries = new Map(hosts.map(({ host, domain }) => [host, new StreamRegistry(new SoftwareVersions(facts), keepers, { host, domain })]))
    origins = newEntry('a')
    list('one', 'v1')
    await follow(streamWindowMs + 1000)
  })

  afterEach(() => time.restore())

  const find = async (entry: StreamOrigins, request: string): Promise<string | undefined> => {
    let found: string | undefined
    await time.runUntilSettled(entry.find(service, request, 1000).then(version => { found = version }))
    return found
  }

  it('are not sent while the service has a single version', async () => {
    origins.record(service, 'r', 'v1')
    await time.settle()
    expect(frames).to.deep.equal([])
  })

  // Streams that had begun at a second version on the other side of a partition went on at the first one.
  describe('while a failure domain does not answer', () => {
    const server = (softwareVersion: string): BackendServer => ({ id: 'two', service, address: 'two:1', domain: 'a', softwareVersion, slots: 1, leaving: false, models: [] })

    for (const lost of [['b'], ['c'], ['b', 'c']]) {
      describe(`(${lost.join(' and ')})`, () => {
        beforeEach(() => { for (const { host, domain } of hosts) if (lost.includes(domain)) silent.add(host) })

        it('tell nothing of a stream without one if the store does not answer either', async () => {
          expect(await find(origins, 'r')).to.equal(undefined)
        })

        it('tell that it began at the single version if the store lists no other one since', async () => {
          storeAnswer = async () => [server('v1')]
          expect(await find(origins, 'r')).to.equal('v1')
        })

        it('tell nothing of it if the store has listed another one meanwhile', async () => {
          storeAnswer = async () => [server('v2')]
          expect(await find(origins, 'r')).to.equal(undefined)
        })

        it('tell nothing of it if no side process of the domain responds', async () => {
          hosts = hosts.map(target => ({ ...target, responsive: !lost.includes(target.domain) }))
          await time.advance(250)
          expect(await find(origins, 'r')).to.equal(undefined)
        })
      })
    }
  })

  describe('while it has two', () => {
    beforeEach(() => { list('two', 'v2') })

    it('are sent to two failure domains in the turn in which the requests are written, in one frame each', async () => {
      for (let each = 0; each < 20; each++) origins.record(service, `r${each}`, 'v2')
      await time.settle(1)
      const perHost = new Map(frames.map(({ host, frame }) => [host, frame.streams?.length ?? 0]))
      expect(perHost.size).to.equal(frames.length)
      expect([...perHost.values()].reduce((sum, count) => sum + count, 0)).to.equal(2 * 20)
      expect([...perHost].filter(([host]) => host.startsWith('a')).reduce((sum, [, count]) => sum + count, 0)).to.equal(20)
    })

    it('are found by an entry that has just started, in any failure domain', async () => {
      origins.record(service, 'r', 'v2')
      await time.settle()
      for (const domain of domains) expect(await find(newEntry(domain), 'r')).to.equal('v2')
    })

    for (const lost of domains) {
      it(`are found without failure domain ${lost}`, async () => {
        for (let each = 0; each < 20; each++) origins.record(service, `r${each}`, 'v2')
        await time.settle()
        for (const { host, domain } of hosts) if (domain === lost) silent.add(host)
        for (let each = 0; each < 20; each++) expect(await find(newEntry('b'), `r${each}`)).to.equal('v2')
      })
    }

    it('tell that a stream without one began before the second version appeared', async () => {
      expect(await find(newEntry('b'), 'before')).to.equal('v1')
    })

    it('tell nothing of a stream without one at an entry that reaches no side process', async () => {
      hosts = hosts.map(target => ({ ...target, responsive: false }))
      await time.advance(1000)
      expect(await find(origins, 'before')).to.equal(undefined)
    })

    it('tell nothing of a stream without one if nobody answers', async () => {
      for (const { host } of hosts) silent.add(host)
      expect(await find(newEntry('b'), 'before')).to.equal(undefined)
    })

    it('are never those of an earlier attempt, whoever keeps the later one', async () => {
      for (let each = 0; each < 20; each++) {
        const request = `r${each}`
        origins.record(service, request, 'v2')
        await time.settle()
        const keepers = new Set(frames.filter(({ frame }) => frame.streams?.some(([, id]) => id === request)).map(({ host }) => host))
        hosts = hosts.map(target => ({ ...target, responsive: !keepers.has(target.host) }))
        await time.advance(250)
        origins.record(service, request, 'v1')
        await time.settle()
        hosts = newHosts()
        await time.advance(250)
        expect(await find(newEntry('b'), request)).to.be.oneOf(['v1', undefined])
      }
    })

    it('are not taken for missing by an entry that does not know all side processes yet', async () => {
      for (let each = 0; each < 20; each++) origins.record(service, `r${each}`, 'v2')
      await time.settle()
      const all = hosts
      for (const known of domains) {
        hosts = all.filter(({ domain }) => domain === known)
        for (let each = 0; each < 20; each++) expect(await find(newEntry(known), `r${each}`)).to.be.oneOf(['v2', undefined])
      }
    })

    it('are not taken for missing when the side processes that kept them have left', async () => {
      for (let each = 0; each < 20; each++) origins.record(service, `r${each}`, 'v2')
      await time.settle()
      const kept = hosts
      for (const left of [['a0', 'b0', 'c0'], ['a1', 'b1', 'c1'], ['a0', 'b1', 'c0']]) {
        listHosts(kept.filter(({ host }) => !left.includes(host)))
        for (let each = 0; each < 20; each++) expect(await find(newEntry('b'), `r${each}`)).to.be.oneOf(['v2', undefined])
      }
    })

    it('are not taken for missing by an entry that is not told which stream it is, or has recorded none for its long id', async () => {
      const long = 'x'.repeat(maxRequestIdLength + 1)
      origins.record(service, long, 'v2')
      origins.record(service, 'r', 'v2')
      await time.settle()
      expect(await find(newEntry('b'), long)).to.equal(undefined)
      expect(await find(newEntry('b'), '')).to.equal(undefined)
    })

    it('are not taken for missing when there were too many', async () => {
      origins.record(service, 'r', 'v2')
      await time.settle()
      const further = Array.from({ length: 100_000 }, (_, index): StreamRecord => [service, `r${index}`, 'v2'])
      for (const registry of registries.values()) registry.handle({ send: () => true } as unknown as Channel, { type: 'crashes', stamp: 0, crashes: [], sound: [], streams: further })
      expect(await find(newEntry('b'), 'r')).to.equal(undefined)
      await follow(streamWindowMs / 2)
      expect(await find(newEntry('b'), 'r')).to.equal(undefined)
    })
  })
})
