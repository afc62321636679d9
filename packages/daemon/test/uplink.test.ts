/*
 * Guards against a process that does not exit after SIGTERM: a signal that aborted while the uplink was being opened did not close it, and
 * the process waited for it for as long as the watcher at its other end lived.
 */
import type { Duplex } from 'node:stream'
import { Address, FailureDomain, ProcessId, newIncarnation, silentLog, withTimeout } from '@finchpitch/core'
import { Entry, keepUplink } from '@finchpitch/daemon'
import { MemoryStore, channelOptions, duplexPair } from '@finchpitch/stand-ins'
import { Catalog, type Instance } from '@finchpitch/store'
import { Channel } from '@finchpitch/wire'
import { expect } from 'chai'
import { ok } from 'neverthrow'

/** Far above the time that closing a connection in memory takes. */
const stopTimeoutMs = 1000

const watcher: Instance = {
  role: 'entry',
  process: ProcessId.parse('entry-1'),
  domain: FailureDomain.parse('a'),
  address: Address.parse('10.0.0.1:1'),
  leaving: false
}

/** A promise that the test resolves, and a promise that resolves once it is awaited for the first time. */
class HeldStep {
  readonly reached: Promise<void>
  release = (): void => {}
  #resolveReached = (): void => {}
  readonly #released = new Promise<void>(resolve => { this.release = resolve })

  constructor () {
    this.reached = new Promise(resolve => { this.#resolveReached = resolve })
  }

  async wait (): Promise<void> {
    this.#resolveReached()
    await this.#released
  }
}

describe('an uplink', () => {
  let step: HeldStep
  let peers: Channel[]

  /** Connects to a watcher that keeps its end open. */
  const dialWatcher = (): Duplex => {
    const [local, remote] = duplexPair()
    const peer = new Channel(remote, channelOptions('entry-1'))
    peers.push(peer)
    void (async () => { for await (const frame of peer.frames()) void frame })()
    return local
  }

  beforeEach(() => {
    step = new HeldStep()
    peers = []
  })

  afterEach(() => { for (const peer of peers) peer.close() })

  describe('of a process that stops', () => {
    const keep = (instances: () => Promise<Instance[]>, dial: () => Promise<Duplex>, signal: AbortSignal): Promise<void> => keepUplink({
      process: ProcessId.parse('side-0'),
      domain: FailureDomain.parse('a'),
      instances,
      catalog: new Catalog('common'),
      channel: channelOptions('side-0'),
      dial,
      log: silentLog,
      random: () => 0.5,
      signal
    })

    const heldSteps = {
      'while the instance list is read': (signal: AbortSignal) => keep(async () => {
        await step.wait()
        return [watcher]
      }, async () => dialWatcher(), signal),
      'while the watcher is dialled': (signal: AbortSignal) => keep(async () => [watcher], async () => {
        await step.wait()
        return dialWatcher()
      }, signal)
    }

    for (const [moment, start] of Object.entries(heldSteps)) {
      it(`${moment} does not stay open`, async () => {
        const shutdown = new AbortController()
        const ended = start(shutdown.signal).then(() => 'ended')
        await step.reached
        shutdown.abort()
        step.release()
        expect(await withTimeout(stopTimeoutMs, ended, 'still open')).to.equal('ended')
      })
    }
  })

  describe('of an entry that stops', () => {
    it('while the watcher is dialled does not stay open', async () => {
      const entry = new Entry({
        process: ProcessId.parse('entry-0'),
        incarnation: newIncarnation(),
        domain: FailureDomain.parse('a'),
        address: () => Address.parse('10.0.0.2:1'),
        store: new MemoryStore(),
        instances: { read: async () => ok([watcher]) },
        catalog: new Catalog('all'),
        dial: async () => {
          await step.wait()
          return dialWatcher()
        },
        log: silentLog,
        random: () => 0
      })
      const ended = entry.run().then(() => 'ended')
      await step.reached
      entry.close()
      step.release()
      expect(await withTimeout(stopTimeoutMs, ended, 'still open')).to.equal('ended')
    })
  })
})
