/*
 * Guards against streams that hold events of two software versions because they were taken up on the other side of a partition, where
 * nobody knew of the second version nor had a record of them.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '@finchpitch/core'
import { streamWindowMs } from '@finchpitch/fleet'
import { FleetSystem } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const cutMs = 4000
/** Until all processes have noticed the switch. */
const cutSettleMs = 100
/** Until the entries beyond the partition know of the second version. */
const learnMs = 1200
const intervalMs = 25
const settleMs = 2500
const leaveAfter = 3
const adapters = Array.from({ length: 6 }, (_, index) => `a${index}`)

interface Part { id: string, status: number, events: Array<{ id: number, version: string }> }

describe('streams that are taken up on the other side of a partition', function () {
  this.timeout(120_000)
  let fleet: FleetSystem
  let folder: string
  let cutSwitch: string

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'cut-'))
    cutSwitch = join(folder, 'cut')
    process.env.CUT_LINKS = cutSwitch
    const nodeOptions = ['--import', fileURLToPath(new URL('cut-links.js', import.meta.url))]
    fleet = new FleetSystem({ network: 97, domains: 2, entriesPerDomain: 2, enginesPerDomain: 2, plainServersPerDomain: 0, adapterSlots: adapters.length, loadMs: 40, workMs: 10, events: 8, eventMs: 25, nodeOptions })
    await fleet.start()
    for (const engine of fleet.engines) for (const adapter of adapters) engine.adapters.set(adapter, 1)
  })

  afterEach(async function () {
    delete process.env.CUT_LINKS
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.saveLogLines(this.currentTest.title)}`)
    await fleet.stop()
    await rm(folder, { recursive: true, force: true })
  })

  const eventsIn = (body: string): Part['events'] =>
    [...body.matchAll(/^id: (\d+)\ndata: \S+ (\S+) \d+\n\n/gm)].map(([, id, version]) => ({ id: Number(id), version: version ?? '' }))

  /** Sends a request to an entry. Its caller leaves after some events, or takes up the stream of another request. */
  const send = (entry: number, id: string, resumed?: Part): Promise<Part> => new Promise(resolve => {
    const resume = resumed === undefined ? {} : { 'last-event-id': String(resumed.events.at(-1)?.id), resumes: resumed.id }
    const adapter = adapters[(resumed?.id ?? id).length % adapters.length] ?? ''
    const headers = { host: 'fleet.example', 'request-id': id, 'deadline-ms': '3000', model: `base/${adapter}`, ...resume }
    let body = ''
    let status = 0
    const finish = (): void => resolve({ id, status, events: eventsIn(body) })
    const outgoing = request({ ...fleet.callerAddress(entry), method: 'POST', path: '/resume/x', headers, agent: false }, response => {
      status = response.statusCode ?? 0
      response.setEncoding('utf8').on('data', (text: string) => {
        body += text
        if (resumed === undefined && eventsIn(body).length >= leaveAfter) outgoing.destroy()
      })
      response.on('end', finish).on('error', finish)
    })
    outgoing.on('error', finish).end('{}')
  })

  it('hold events of one version if a second one appears there meanwhile', async () => {
    // By then all processes know that there was one version.
    await pause(streamWindowMs + settleMs)
    await writeFile(cutSwitch, '')
    const cutAt = performance.now()
    await pause(cutSettleMs)
    const second = fleet.engines.at(-1)
    if (second === undefined) throw new Error('there are engines')
    second.softwareVersion = 'v2'
    fleet.relist(second)
    await pause(learnMs)
    const streams: Array<Promise<Part[]>> = []
    const takeUp = async (from: number, to: number, id: string): Promise<Part[]> => {
      const first = await send(from, id)
      return first.events.length === 0 ? [] : [first, await send(to, `${id}-again`, first)]
    }
    for (let each = 0; performance.now() - cutAt < cutMs; each++) {
      streams.push(takeUp(2 + each % 2, each % 2, `stream-${'x'.repeat(each % adapters.length)}-${each}`))
      await pause(intervalMs)
    }
    const all = (await Promise.all(streams)).filter(parts => parts.length > 0)
    const versionsOf = (parts: Part[]): string[] => [...new Set(parts.flatMap(({ events }) => events).map(({ version }) => version))]
    expect(all.filter(([first]) => first?.events[0]?.version === 'v2').length).to.be.at.least(10)
    expect(all.map(versionsOf).filter(versions => versions.length > 1)).to.deep.equal([])
    for (const [, again] of all) expect(again?.status).to.be.oneOf([200, 503])
  })
})
