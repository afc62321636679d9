/*
 * A caller sent one request again and again, at any entry, and each engine that began to run it ended about a tenth of a
 * second later, with all the streams that it had. Nothing connected the tries: each came under an id of its own, and what
 * broke off counted against the engine alone, so that the next sound engine was chosen for the next try. Twelve engines
 * ended under one request and ten under another, eight and six of them after three had ended already.
 *
 * The lines that settled it: at each end `server.failed … "detail":"aborted"` for three to ten requests in the same
 * millisecond, one of which was always of adapter a1416 with 1036 tokens and had begun 105 to 155 ms before, on engines of
 * three failure domains, each of which ended alone.
 */
import { pause } from '@finchpitch/core'
import { FleetSystem, askFleet, type Ask, type Reply } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const tries = 10
/** The engines of the fleet would last for all tries: each is back sooner. */
const restMs = 150
const fatalPath = '/stream/fatal'
/** Two ends that are known everywhere are enough to tell it; one more may be under way. */
const mostEnds = 3

describe('a request that ends the servers that run it', function () {
  let fleet: FleetSystem

  before(async () => {
    fleet = new FleetSystem({ network: 37, domains: 2, entriesPerDomain: 2, enginesPerDomain: 3, plainPerDomain: 1, places: 8, loadMs: 20, workMs: 20, events: 4, eventMs: 10 })
    await fleet.start()
    for (const engine of fleet.engines) engine.fatalPath = fatalPath
  })

  after(() => fleet.stop())

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(`logs kept: ${await fleet.keepLines(this.currentTest.title)}`)
  })

  /** `undefined` where no answer began. */
  const ask = async (asked: Ask): Promise<Reply | undefined> => await askFleet(fleet, asked).catch(() => undefined)

  /** How often it reached a server that began to run it. */
  const ran = (id: string): number => [...fleet.engines, ...fleet.plain].flatMap(server => server.ran).filter(each => each.startsWith(id)).length

  it('is refused at every entry once the same request has ended two of them', async () => {
    const replies: Array<Reply | undefined> = []
    for (let each = 0; each < tries; each++) {
      replies.push(await ask({ path: fatalPath, id: `fatal-${each}`, model: 'base', entry: each % fleet.entries.length }))
      await pause(restMs)
    }
    expect(ran('fatal')).to.be.at.most(mostEnds)
    for (const reply of replies.slice(-fleet.entries.length)) {
      expect(reply?.status).to.equal(503)
      expect(Number(reply?.headers['retry-after'])).to.be.greaterThan(1)
    }
  })

  it('keeps no other request from being served', async () => {
    const others: Ask[] = fleet.entries.map((_, entry) => ({ path: fatalPath, id: `other-body-${entry}`, model: 'base', entry, body: '{"ask":2}' }))
    for (const engine of fleet.engines) engine.fatalPath = undefined
    const replies = await Promise.all(others.map(ask))
    expect(replies.map(reply => reply?.status)).to.deep.equal(replies.map(() => 200))
  })
})
