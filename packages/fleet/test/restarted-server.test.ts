import { silentLog } from '@finchpitch/core'
import { EngineMirror, Facts, OrderSender, ServerStates, SideCounters, type BackendServer, type EngineStatus, type EngineControl, type Fact, type EngineReport } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { ok } from 'neverthrow'

const firstStart = 1_700_000_000_000
const secondStart = firstStart + 60_000

const server = (bornAt: number, more: Partial<BackendServer> = {}): BackendServer =>
  ({ id: 'i', bornAt, service: 'llm', address: '10.0.0.1:80', domain: 'a', slots: 8, leaving: false, models: [], ...more })
const fact = (revision: number, value: BackendServer | undefined, key = 'i'): Fact => ({ kind: 'server', key, revision, value })

const engineReport = (held: Array<[string, number]>): EngineReport =>
  ({ at: 0, reachable: true, held: new Map(held), coming: new Set(), waiting: 0, running: 4, unread: 0 })

describe('a server that restarts with the same id', () => {
  let time: FakeTime
  let facts: Facts

  beforeEach(() => {
    time = new FakeTime()
    facts = new Facts(silentLog, () => 1000)
  })

  afterEach(() => time.restore())

  describe('in the facts of the store', () => {
    it('takes requests again, though its previous incarnation was draining', () => {
      facts.offer(fact(5, server(firstStart, { leaving: true })), 'store')
      facts.offer(fact(6, server(firstStart)), 'store')
      expect(facts.eligibleServers('llm')).to.have.length(0)
      facts.offer(fact(7, server(secondStart)), 'store')
      expect(facts.eligibleServers('llm')).to.have.length(1)
    })

    it('is not replaced by a late write of its previous incarnation', () => {
      facts.offer(fact(6, server(secondStart)), 'store')
      expect(facts.offer(fact(7, server(firstStart, { leaving: true })), 'store')).to.equal(false)
      expect(facts.servers.get('i')).to.include({ bornAt: secondStart, leaving: false })
    })

    it('is not affected by another server with an unknown service', () => {
      const table = { version: 1, routes: [], services: [{ name: 'llm', maxConnections: 10 }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
      facts.offer({ kind: 'table', key: 'table', revision: 1, value: table }, 'store')
      facts.offer(fact(5, server(firstStart)), 'store')
      facts.offer(fact(9, server(secondStart, { id: 'x', service: 'stranger' }), 'x'), 'store')
      expect(facts.eligibleServers('llm').map(each => each.id)).to.deep.equal(['i'])
    })
  })

  describe('at an entry', () => {
    let states: ServerStates

    beforeEach(() => {
      states = new ServerStates()
      states.getOrCreate(server(firstStart), 10)
      states.applyReport('i', engineReport([['m/a1', 1]]), firstStart)
    })

    it('has an empty state, once the store reports the new incarnation', () => {
      const previous = states.get('i')
      const state = states.getOrCreate(server(secondStart), 10)
      expect(state).to.not.equal(previous)
      expect(state).to.include({ engineReport: undefined, load: 0 })
      expect(states.holders.of('m/a1').size).to.equal(0)
    })

    it('has an empty state, once its side process reports the new incarnation before the store does', () => {
      states.applyReport('i', engineReport([['m/a2', 1]]), secondStart)
      expect(states.holders.of('m/a1').size).to.equal(0)
      expect([...states.holders.of('m/a2')]).to.deep.equal(['i'])
      expect(states.getOrCreate(server(firstStart), 10)).to.equal(states.get('i'))
      expect(states.get('i')?.agent.maxSockets).to.equal(10)
    })

    it('ignores late updates about the previous incarnation', () => {
      states.applyReport('i', engineReport([]), secondStart)
      states.applyReport('i', engineReport([['m/a1', 1]]), firstStart)
      expect(states.holders.of('m/a1').size).to.equal(0)
    })
  })

  describe('in the updates of its side process', () => {
    it('has no loaded or cached adapters, and earlier updates are discarded', () => {
      const mirror = new EngineMirror()
      mirror.apply({ type: 'holding', host: 'h', whole: true, server: 'i', bornAt: firstStart, came: { 'm/a1': 1 }, warm: [['m/a2', 1]] })
      mirror.recordLoaded('m/a3', 1)
      mirror.apply({ type: 'holding', host: 'h', bornAt: secondStart, went: ['m/a1'] })
      expect(mirror.bornAt).to.equal(secondStart)
      expect(mirror.held.size).to.equal(0)
      expect(mirror.warm.version('m/a2')).to.equal(undefined)
    })
  })

  describe('at its side process', () => {
    it('is reported as replaced, once', () => {
      let replaced = 0
      const engine: EngineControl = { status: async () => ok({} as unknown as EngineStatus), order: async () => ({ outcome: 'done', detail: '' }) }
      const orders = new OrderSender({ engine, engineAddress: '10.0.0.1:80', facts, counters: new SideCounters(), log: silentLog, onEngineReplaced: () => { replaced += 1 } })
      orders.updateEngineId('i')
      for (const bornAt of [firstStart, firstStart, secondStart, secondStart, undefined]) orders.recordEngineStart(bornAt)
      expect(replaced).to.equal(1)
    })
  })
})
