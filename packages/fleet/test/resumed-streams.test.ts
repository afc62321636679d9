/*
 * Guards against streams that hold events of two software versions: a stream went on at any server of its service, within one response
 * and when its caller took it up at the same or another entry.
 */
import { request, type IncomingMessage } from 'node:http'
import { pause } from '@finchpitch/core'
import { streamWindowMs } from '@finchpitch/fleet'
import { BackendStandIn, FleetSystem, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const settleMs = 2500
const events = 8
const eventMs = 25
/** Adapters that all engines hold, so that any of them may run a request. */
const adapters = Array.from({ length: 6 }, (_, index) => `a${index}`)
/** Of the streams that are taken up, the share that has to go on, as nearly all new streams begin. */
const minGoingOnShare = 0.5

interface Part {
  status: number
  retryAfterMs: number
  /** Ids of the events, and the software versions of the servers that made them. */
  events: Array<{ id: number, version: string }>
}

describe('streams where a service has servers of two software versions', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let sent = 0

  const hold = (engine: BackendStandIn): void => {
    engine.hasModel = true
    for (const adapter of adapters) engine.adapters.set(adapter, 1)
  }

  const start = async (secondVersion: boolean, enginesPerDomain = 2): Promise<void> => {
    fleet = new FleetSystem({ network: 64, domains: 2, entriesPerDomain: 2, enginesPerDomain, plainServersPerDomain: 0, adapterSlots: adapters.length, loadMs: 40, workMs: 10, events, eventMs })
    await fleet.start()
    for (const engine of fleet.engines) hold(engine)
    if (secondVersion) fleet.engines.forEach((engine, index) => { if (index % 2 === 1) setVersion(engine, 'v2') })
    await pause(settleMs)
    await eventually('each entry serves streams', async () => {
      const statuses = await Promise.all(fleet.entries.map(async (_, entry) => (await send(entry, {})).status))
      return statuses.every(status => status === 200)
    }, 10_000)
  }

  const setVersion = (engine: BackendStandIn, version: string): void => {
    engine.softwareVersion = version
    fleet.relist(engine)
  }

  const replace = async (engine: BackendStandIn, version: string): Promise<void> => {
    const { id } = engine
    engine.softwareVersion = version
    engine.onCrash()
    await eventually('the engine is back', () => engine.id !== id)
    hold(engine)
    await pause(1200)
  }

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
  })

  const eventsIn = (body: string): Part['events'] =>
    [...body.matchAll(/^id: (\d+)\ndata: \S+ (\S+) \d+\n\n/gm)].map(([, id, version]) => ({ id: Number(id), version: version ?? '' }))

  /** Sends a request for a stream to an entry. Its caller leaves after `leaveAfter` events. */
  const send = (entry: number, { id = `stream-${sent++}`, adapter = adapters[sent % adapters.length] ?? '', after = 0, resumes, leaveAfter = Infinity }: { id?: string, adapter?: string, after?: number, resumes?: string, leaveAfter?: number }): Promise<Part & { id: string, adapter: string }> => new Promise(resolve => {
    const resume = resumes === undefined ? {} : { 'last-event-id': String(after), resumes }
    const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': '3000', model: `base/${adapter}`, ...resume }
    let body = ''
    let response: IncomingMessage | undefined
    const finish = (): void => resolve({ id, adapter, status: response?.statusCode ?? 0, retryAfterMs: Number(response?.headers['retry-after'] ?? 0) * 1000, events: eventsIn(body) })
    const outgoing = request({ ...fleet.callerAddress(entry), method: 'POST', path: '/resume/x', headers, agent: false }, received => {
      response = received
      received.setEncoding('utf8').on('data', (text: string) => {
        body += text
        if (eventsIn(body).length >= leaveAfter) outgoing.destroy()
      })
      received.on('end', finish).on('error', finish)
    })
    outgoing.on('error', finish).end('{}')
  })

  interface Stream { parts: Part[] }

  /** Begins a stream at one entry, leaves after some events, and takes it up at another one. */
  const takeUp = async (from: number, to: number, between = async (): Promise<void> => {}): Promise<Stream> => {
    const first = await send(from, { leaveAfter: 3 })
    await between()
    const last = first.events.at(-1)?.id
    if (last === undefined) return { parts: [first] }
    return { parts: [first, await send(to, { after: last, resumes: first.id, adapter: first.adapter })] }
  }

  const versionsIn = ({ parts }: Stream): string[] => [...new Set(parts.flatMap(part => part.events).map(({ version }) => version))]
  const joined = (streams: readonly Stream[]): string[] => streams.map(versionsIn).filter(each => each.length > 1).map(each => each.join(' and '))
  const takenUp = (streams: readonly Stream[]): Stream[] => streams.filter(({ parts }) => parts.length > 1)
  const goingOnShare = (streams: readonly Stream[]): number => {
    const all = takenUp(streams)
    return all.filter(({ parts }) => (parts[1]?.events.length ?? 0) > 0).length / all.length
  }

  const each = async (count: number, run: (index: number) => Promise<Stream>): Promise<Stream[]> => await Promise.all(Array.from({ length: count }, (_, index) => run(index)))
  const machineOf = (entry: number): Machine => {
    const machine = fleet.entries[entry]
    if (machine === undefined) throw new Error('there is such an entry')
    return machine
  }

  const expectSound = (streams: readonly Stream[]): void => {
    expect(joined(streams)).to.deep.equal([])
    expect(takenUp(streams).length).to.be.at.least(12)
    expect(goingOnShare(streams)).to.be.at.least(minGoingOnShare)
  }

  it('have events of one version within a response while an engine breaks off', async () => {
    await start(true)
    const streams: Stream[] = []
    for (const engine of fleet.engines) {
      engine.fault = 'torn'
      streams.push(...await each(12, async index => ({ parts: [await send(index % fleet.entries.length, {})] })))
      engine.fault = 'none'
    }
    expect(joined(streams)).to.deep.equal([])
  })

  it('go on at the version that began them when their callers take them up at any entry', async () => {
    await start(true)
    expectSound(await each(40, async index => await takeUp(index % 4, (index + 1 + index % 3) % 4)))
  })

  it('go on at the version that began them when the entry that began them was killed', async () => {
    await start(true)
    const streams: Stream[] = []
    for (const entry of [0, 2]) {
      let killed: Promise<void> | undefined
      streams.push(...await each(16, async index => await takeUp(entry, [1, 3][index % 2] ?? 1, async () => { await (killed ??= fleet.kill(machineOf(entry))) })))
      await fleet.startProcess(machineOf(entry))
      await pause(settleMs)
    }
    expectSound(streams)
  })

  it('go on at the version that began them at an entry that has just started', async () => {
    await start(true)
    await fleet.kill(machineOf(1))
    let started: Promise<void> | undefined
    const restart = async (): Promise<void> => {
      await fleet.startProcess(machineOf(1))
      await pause(1500)
    }
    const streams = await each(24, async () => await takeUp(0, 1, async () => { await (started ??= restart()) }))
    expectSound(streams)
  })

  describe('when all entries were killed at once', () => {
    const killAll = async (): Promise<void> => {
      await Promise.all(fleet.entries.map(async machine => await fleet.kill(machine)))
      await Promise.all(fleet.entries.map(async machine => await fleet.startProcess(machine)))
    }

    /** Takes a stream up again and again, as callers do that are refused. */
    const takeUpAgain = async (first: Part & { id: string, adapter: string }, index: number): Promise<Part> => {
      let part: Part = { status: 0, retryAfterMs: 0, events: [] }
      for (let tries = 0; tries < 6 && part.events.length === 0; tries++) {
        await pause(300)
        part = await send((index + tries) % fleet.entries.length, { after: first.events.at(-1)?.id ?? 0, resumes: first.id, adapter: first.adapter })
      }
      return part
    }

    /** Begins streams, kills all entries, and takes the streams up. Servers of `refusing` refuse half of the time, so that many streams are attempted at both versions. */
    const runOnce = async (refusing: string, beforeKill: () => void = () => {}): Promise<Stream[]> => {
      const refusers = fleet.engines.filter(engine => engine.softwareVersion === refusing)
      const firsts: Array<ReturnType<typeof send>> = []
      for (let each = 0; each < 48; each++) {
        for (const engine of refusers) engine.fault = each % 8 < 4 ? 'shedding' : 'none'
        firsts.push(send(each % 4, { leaveAfter: 3 }))
        await pause(8)
      }
      for (const engine of refusers) engine.fault = 'none'
      const began = await Promise.all(firsts)
      beforeKill()
      await killAll()
      return await Promise.all(began.filter(({ events }) => events.length > 0).map(async (first, index) => ({ parts: [first, await takeUpAgain(first, index)] })))
    }

    it('do not go on at the version before if the side processes that kept their records have left', async function () {
      this.timeout(120_000)
      await start(false, 4)
      // By then all processes know that there was one version before the second one appears.
      await pause(streamWindowMs)
      const [first = [], second = [], ...others] = [0, 1, 2, 3].map(index => fleet.engines.filter((_, engine) => engine % 4 === index))
      for (const engine of first) await replace(engine, 'v2')
      const began = await Promise.all(Array.from({ length: 64 }, async (_, index) => await send(index % 4, { leaveAfter: 3 })))
      for (const engine of [...second, ...others[0] ?? []]) fleet.store.remove('servers', engine.id)
      await killAll()
      await pause(settleMs)
      const streams = await Promise.all(began.filter(({ events }) => events[0]?.version === 'v2').map(async (part, index) => ({ parts: [part, await takeUpAgain(part, index)] })))
      expect(streams.length).to.be.at.least(8)
      expect(joined(streams)).to.deep.equal([])
    })

    for (const refusing of ['v1', 'v2']) {
      it(`go on at the version that began them (servers of ${refusing} refuse at first)`, async () => {
        await start(true)
        const streams = await runOnce(refusing)
        expect(new Set(streams.flatMap(versionsIn)).size).to.equal(2)
        expectSound(streams)
      })

      it(`are refused if the version that began them has just left, and go on otherwise (servers of ${refusing} refuse at first)`, async () => {
        await start(true)
        const streams = await runOnce(refusing, () => { for (const engine of fleet.engines) if (engine.softwareVersion === 'v1') fleet.relist(engine, 'draining') })
        expect(joined(streams)).to.deep.equal([])
        const staying = streams.filter(({ parts }) => parts[0]?.events[0]?.version === 'v2')
        expect(staying.length).to.be.at.least(4)
        expect(goingOnShare(staying)).to.be.at.least(minGoingOnShare)
      })
    }
  })

  it('go on at the version that began them when the second one appears meanwhile', async () => {
    await start(false)
    const [, second] = fleet.engines
    let appeared: Promise<void> | undefined
    const streams = await each(24, async index => await takeUp(index % 4, (index + 1) % 4, async () => {
      if (second === undefined) throw new Error('there are two engines')
      appeared ??= replace(second, 'v2')
      await appeared
    }))
    expect(joined(streams)).to.deep.equal([])
    expect(goingOnShare(streams)).to.be.at.least(minGoingOnShare)
  })

  it('go on while the processes of a failure domain are gone and a single version serves', async function () {
    this.timeout(120_000)
    await start(false)
    await pause(streamWindowMs)
    let killed: Promise<unknown> | undefined
    const killDomain = async (): Promise<void> => {
      const lost = [...fleet.entries, ...fleet.sides].filter(({ name }) => name.includes('d1'))
      await (killed ??= Promise.all(lost.map(async machine => await fleet.kill(machine))))
    }
    expectSound(await each(24, async index => await takeUp(2 + index % 2, index % 2, killDomain)))
  })

  it('are refused at once, as not run, when the version that began them has no server any more', async () => {
    await start(true)
    const streams = await each(24, async index => {
      const first = await send(index % 4, { leaveAfter: 3 })
      return { parts: [first] }
    })
    for (const engine of fleet.engines) if (engine.softwareVersion === 'v2') fleet.relist(engine, 'draining')
    await pause(1500)
    const orphans = streams.filter(stream => versionsIn(stream)[0] === 'v2').map(({ parts }) => parts[0] as Part & { id: string, adapter: string })
    expect(orphans.length).to.be.at.least(1)
    for (const { id, adapter, events } of orphans) {
      const startedAt = performance.now()
      const again = await send(0, { after: events.at(-1)?.id ?? 0, resumes: id, adapter })
      expect(again.status).to.equal(503)
      expect(performance.now() - startedAt).to.be.lessThan(500)
    }
  })
})
