import { quietLog } from '@finchpitch/core'
import { EngineMirror, Facts, OrderSender, ServerStates, SideCounters, type BackendServer, type EngineStatus, type EngineControl, type Fact, type EngineReport } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { ok } from 'neverthrow'

const first = 1_700_000_000_000
const second = first + 60_000

const server = (bornAt: number, more: Partial<BackendServer> = {}): BackendServer =>
  ({ id: 'i', bornAt, service: 'llm', address: '10.0.0.1:80', domain: 'a', slots: 8, leaving: false, models: [], ...more })
const fact = (revision: number, value: BackendServer | undefined, key = 'i'): Fact => ({ kind: 'server', key, revision, value })

const holding = (held: Array<[string, number]>): EngineReport =>
  ({ at: 0, reachable: true, held: new Map(held), coming: new Set(), waiting: 0, running: 4, unread: 0 })

describe('a server that starts again under its id', () => {
  let time: FakeTime
  let facts: Facts

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(quietLog, () => 1000)
  })

  afterEach(() => time.restore())

  describe('by the store', () => {
    it('takes requests again, though its former life had said that it leaves', () => {
      facts.offer(fact(5, server(first, { leaving: true })), 'store')
      facts.offer(fact(6, server(first)), 'store')
      expect(facts.eligibleServers('llm')).to.have.length(0)
      facts.offer(fact(7, server(second)), 'store')
      expect(facts.eligibleServers('llm')).to.have.length(1)
    })

    it('is not put back by a write of its former life that takes effect late', () => {
      facts.offer(fact(6, server(second)), 'store')
      expect(facts.offer(fact(7, server(first, { leaving: true })), 'store')).to.equal(false)
      expect(facts.servers.get('i')).to.include({ bornAt: second, leaving: false })
    })

    it('is put out by no entry that names a service which nobody knows', () => {
      const table = { version: 1, routes: [], services: [{ name: 'llm', maxConnections: 10 }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
      facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
      facts.offer(fact(5, server(first)), 'store')
      facts.offer(fact(9, server(second, { id: 'x', service: 'stranger' }), 'x'), 'store')
      expect(facts.eligibleServers('llm').map(each => each.id)).to.deep.equal(['i'])
    })
  })

  describe('at an entry', () => {
    let states: ServerStates

    beforeEach(() => {
      states = new ServerStates()
      states.getOrCreate(server(first), 10)
      states.applyReport('i', holding([['m/a1', 1]]), first)
    })

    it('holds nothing, runs nothing and has failed nothing, once the store says it', () => {
      const former = states.get('i')
      const state = states.getOrCreate(server(second), 10)
      expect(state).to.not.equal(former)
      expect(state).to.include({ engineReport: undefined, load: 0 })
      expect(states.holders.of('m/a1').size).to.equal(0)
    })

    it('the same, once its side process says it, before the store does', () => {
      states.applyReport('i', holding([['m/a2', 1]]), second)
      expect(states.holders.of('m/a1').size).to.equal(0)
      expect([...states.holders.of('m/a2')]).to.deep.equal(['i'])
      expect(states.getOrCreate(server(first), 10)).to.equal(states.get('i'))
      expect(states.get('i')?.agent.maxSockets).to.equal(10)
    })

    it('believes no news of the former life that come late', () => {
      states.applyReport('i', holding([]), second)
      states.applyReport('i', holding([['m/a1', 1]]), first)
      expect(states.holders.of('m/a1').size).to.equal(0)
    })
  })

  describe('by the news of its side process', () => {
    it('has nothing at hand, and no word of before counts', () => {
      const mirror = new EngineMirror()
      mirror.apply({ type: 'holding', host: 'h', whole: true, server: 'i', bornAt: first, came: { 'm/a1': 1 }, warm: [['m/a2', 1]] })
      mirror.recordLoaded('m/a3', 1)
      mirror.apply({ type: 'holding', host: 'h', bornAt: second, went: ['m/a1'] })
      expect(mirror.bornAt).to.equal(second)
      expect(mirror.held.size).to.equal(0)
      expect(mirror.warm.version('m/a2')).to.equal(undefined)
    })
  })

  describe('at its side process', () => {
    it('counts as replaced, once', () => {
      let replaced = 0
      const engine: EngineControl = { status: async () => ok({} as unknown as EngineStatus), order: async () => ({ outcome: 'done', detail: '' }) }
      const orders = new OrderSender({ engine, engineAddress: '10.0.0.1:80', facts, counters: new SideCounters(), log: quietLog, onEngineReplaced: () => { replaced += 1 } })
      orders.updateEngineId('i')
      for (const bornAt of [first, first, second, second, undefined]) orders.recordEngineStart(bornAt)
      expect(replaced).to.equal(1)
    })
  })
})
