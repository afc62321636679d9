/* Guards against orders with a lower fencing token than earlier ones, from a side process that restarted and heard of an older revision. */
import { pause, silentLog } from '@finchpitch/core'
import { FactLink, Facts, SideCounters, SideProcess, storeRevision, type EngineControl, type OrderOutcome } from '@finchpitch/fleet'
import { FakeTime, FleetSystem, channelOptions, duplexPair, eventually, sendToFleet } from '@finchpitch/stand-ins'
import { Channel } from '@finchpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'
import { ok } from 'neverthrow'

const address = '10.0.0.1:1'
const roundMs = 300

const routingTable = {
  version: 1,
  routes: [],
  services: [{ name: 'engines', maxConnections: 10, engine: { batchSize: 8, adapterSlots: 2, weightMemoryMb: 1000, loadsPerSecond: 1000, models: [{ name: 'base', memoryMb: 100, adapterMemoryMb: 1 }] } }],
  limits: { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
}

const limits = { graceMs: 8000, drainMs: 2000, versionMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 10, loadWindowMs: 5000, loadOverage: 100, quotaWindowMs: 1000, quotaOverage: 0.1, quotaSlack: 1 }

/** How the engine handles an order; `late`: it doesn't answer, and executes the order after that of a later life. */
type Handling = 'accepted' | 'late' | 'fenced'

/** An engine that doesn't check fencing tokens. Its adapters load at once, so that each request for another one takes a load. */
class Engine implements EngineControl {
  /** Fencing tokens of all orders, as they arrived. */
  readonly fences: number[] = []
  handlings: Handling[] = []
  readonly #late: Array<() => void> = []
  #orders = 0
  #adapters: string[] = []

  async status (): ReturnType<EngineControl['status']> {
    const models = [{ name: 'base', version: 1, adapters: Object.fromEntries(this.#adapters.map(name => [name, 1])) }]
    return ok({ models, coming: [], busy: false, orders: this.#orders, waiting: 0, running: 0, cacheUsed: 0, cacheTotal: 1000 })
  }

  async order ({ operation, adapter = '', expectedOrders }: Parameters<EngineControl['order']>[0], fence: number): ReturnType<EngineControl['order']> {
    const execute = (): OrderOutcome => {
      this.fences.push(fence)
      if (expectedOrders !== this.#orders) return 'refused'
      this.#orders += 1
      this.#adapters = operation === 'load' ? [...this.#adapters, adapter] : this.#adapters.filter(name => name !== adapter)
      return operation === 'load' ? 'accepted' : 'done'
    }
    const handlers: Record<Handling, () => OrderOutcome> = {
      accepted: execute,
      late: () => {
        this.#late.push(execute)
        return 'unknown'
      },
      fenced: () => {
        this.fences.push(fence)
        return 'fenced'
      }
    }
    return { outcome: handlers[this.handlings.shift() ?? 'accepted'](), detail: '' }
  }

  executeLateOrders (): void {
    for (const execute of this.#late.splice(0)) execute()
  }
}

/** A life of the side process: what each entry knows, in the order in which they connect, and what follows. */
interface Life {
  entries: Array<{ era: number, revision: number }>
  handlings: Handling[]
  /** The process before is slow to die and still runs. */
  overlaps: boolean
}

const lives = fc.array(fc.record<Life>({
  entries: fc.array(fc.record({ era: fc.nat(2), revision: fc.integer({ min: 1, max: 40 }) }), { minLength: 1, maxLength: 4 }),
  handlings: fc.array(fc.constantFrom<Handling>('accepted', 'accepted', 'late', 'fenced'), { maxLength: 6 }),
  overlaps: fc.boolean()
}), { minLength: 2, maxLength: 6 })

describe('orders of a side process that is killed and restarted', () => {
  describe('with simulated entries', () => {
    let time: FakeTime

    beforeEach(() => { time = new FakeTime() })

    afterEach(() => time.restore())

    const connectEntry = async (side: SideProcess, name: string, revision: number): Promise<Channel> => {
      const facts = new Facts(silentLog, () => 1000)
      facts.offer({ kind: 'table', key: 'table', revision, value: routingTable }, 'store')
      facts.offer({ kind: 'server', key: 's', revision, value: { id: 's', service: 'engines', address, domain: 'a', slots: 8, leaving: false, models: [] } }, 'store')
      const [near, far] = duplexPair()
      void side.accept(far)
      const channel = new Channel(near, channelOptions(name))
      void (async () => { for await (const frame of channel.frames()) void frame })()
      await time.settle()
      channel.send({ type: 'fences', highest: revision })
      new FactLink(facts, channel, 0, silentLog).start()
      return channel
    }

    /** Starts a side process, to which one entry after the other connects and sends a demand. Resolves to the function that ends it. */
    const startLife = async (engine: Engine, name: string, revisions: readonly number[]): Promise<() => Promise<void>> => {
      const stop = new AbortController()
      const side = new SideProcess({
        process: 'side-0',
        domain: 'a',
        engineAddress: address,
        sidePort: 7380,
        dial: async () => { throw new Error('nothing listens') },
        engine,
        facts: new Facts(silentLog, () => 1000),
        limits: () => limits,
        channel: channelOptions('side-0'),
        counters: new SideCounters(),
        log: silentLog
      })
      const running = side.run(stop.signal)
      const channels: Channel[] = []
      for (const [index, revision] of revisions.entries()) {
        channels.push(await connectEntry(side, `entry-${index}`, revision))
        side.demands.ask(`entry-${index}`, { key: `base/${name}-${index}`, waiting: 1, priority: 0, keep: true })
        await time.advance(roundMs)
      }
      return async () => {
        stop.abort()
        side.close()
        for (const channel of channels) channel.close()
        await time.runUntilSettled(running)
      }
    }

    it('never carry a lower fencing token than earlier ones, whatever its entries know and however late orders are executed', async () => {
      await fc.assert(fc.asyncProperty(lives, async drawn => {
        const engine = new Engine()
        let endPrevious = async (): Promise<void> => {}
        for (const [index, { entries, handlings, overlaps }] of drawn.entries()) {
          if (!overlaps) await endPrevious()
          engine.handlings = [...handlings]
          const end = await startLife(engine, `life-${index}`, entries.map(({ era, revision }) => storeRevision(era, revision)))
          if (overlaps) await endPrevious()
          endPrevious = end
          engine.executeLateOrders()
        }
        await endPrevious()
        const lower = engine.fences.filter((fence, index) => fence < Math.max(...engine.fences.slice(0, index)))
        expect(lower).to.deep.equal([])
        // Without orders, nothing was tested.
        expect(engine.fences.length).to.be.greaterThan(0)
      }), { seed: 861000, numRuns: 40, endOnFailure: true })
    }).timeout(60_000)
  })

  describe('with real processes', function () {
    this.timeout(60_000)
    const settleMs = 1500
    let fleet: FleetSystem

    beforeEach(async () => {
      fleet = new FleetSystem({ network: 78, domains: 1, entriesPerDomain: 2, enginesPerDomain: 1, plainServersPerDomain: 0, adapterSlots: 4, loadMs: 20, workMs: 5, events: 4, eventMs: 5, storeProxies: true })
      await fleet.start()
      await pause(settleMs)
    })

    afterEach(async () => { await fleet.stop() })

    /** Requests new adapters from an entry, one after the other, until the engine has received some more orders. */
    const causeOrders = async (name: string, entry: number): Promise<void> => {
      const [engine] = fleet.engines
      const before = engine?.orders.length ?? 0
      let requests = 0
      await eventually('orders have reached the engine', async () => {
        requests += 1
        const id = `${name}-${requests}`
        await sendToFleet(fleet, { path: `/stream/${id}`, id, model: `base/${id}`, entry }).catch(() => {})
        return (engine?.orders.length ?? 0) >= before + 4
      }, 10_000)
    }

    it('never carry a lower fencing token than earlier ones, also if only an entry that stood still is there after a restart', async () => {
      const [behind, current] = fleet.entries
      const [side] = fleet.sides
      const [proxy] = fleet.storeProxies
      if (behind === undefined || current === undefined || side === undefined || proxy === undefined) throw new Error('the fleet has two entries, a side process and proxies')
      await causeOrders('first', 0)
      proxy.fault = { type: 'silence' }
      await pause(100)
      fleet.signal(behind.process, 'SIGSTOP')
      fleet.store.put('config', 'main', fleet.table(2))
      await pause(300)
      await fleet.kill(side)
      await fleet.startProcess(side)
      await causeOrders('second', 1)
      await Promise.all([fleet.kill(side), fleet.kill(current)])
      fleet.signal(behind.process, 'SIGCONT')
      await fleet.startProcess(side)
      await causeOrders('third', 0)
      const fences = fleet.engines.flatMap(engine => engine.orders.map(order => order.fence))
      expect(fences).to.deep.equal([...fences].sort((a, b) => a - b))
    })
  })
})
