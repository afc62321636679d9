import { silentLog } from '@finchpitch/core'
import { UpdateSources, selectUpdateSources } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const local = Array.from({ length: 11 }, (_, each) => `10.1.0.${each}`)
const remote = Array.from({ length: 43 }, (_, each) => `10.2.0.${each}`)

describe('the sources of engine updates', () => {
  it('are the own side process of a local engine, and a local side process for each remote one', () => {
    const sources = selectUpdateSources({ local, remote })
    for (const host of local) expect(sources.get(host)).to.equal(host)
    for (const host of remote) expect(local).to.include(sources.get(host))
  })

  it('are the same for all entries of a domain, in whatever order they learned of the hosts', () => {
    expect(selectUpdateSources({ local: [...local].reverse(), remote })).to.deep.equal(selectUpdateSources({ local, remote }))
  })

  it('spread remote engines over the local side processes', () => {
    const counts = new Map<string, number>()
    const sources = selectUpdateSources({ local, remote })
    for (const host of remote) counts.set(sources.get(host) ?? '', (counts.get(sources.get(host) ?? '') ?? 0) + 1)
    expect(Math.max(...counts.values())).to.be.at.most(12)
  })

  it('change only for the engines of a side process that is lost', () => {
    const before = selectUpdateSources({ local, remote })
    const lost = local[4] ?? ''
    const after = selectUpdateSources({ local: local.filter(host => host !== lost), remote })
    for (const host of remote) if (before.get(host) !== lost) expect(after.get(host)).to.equal(before.get(host))
  })

  it('are each engine\'s own side process if there is no local one', () => {
    for (const [host, source] of selectUpdateSources({ local: [], remote })) expect(source).to.equal(host)
  })

  describe('as hosts change', () => {
    let time: FakeTime
    let sources: UpdateSources

    beforeEach(() => {
      time = new FakeTime()
      sources = new UpdateSources(silentLog)
    })

    afterEach(() => time.restore())

    it('are selected once no more local side processes connect', async () => {
      for (let each = 1; each <= local.length; each++) {
        expect(sources.select({ local: local.slice(0, each), remote })).to.equal(false)
        await time.advance(100)
      }
      expect(sources.select({ local, remote })).to.equal(false)
      await time.advance(200)
      expect(sources.select({ local, remote })).to.equal(true)
      expect(sources.select({ local, remote })).to.equal(false)
      expect(local).to.include(sources.sourceOf(remote[0] ?? ''))
    })

    /*
     * Sources are checked every 200 ms by a timer, which may fire slightly early by the monotonic clock. When hosts had to be stable
     * for just as long, an early check cost another 200 ms, and updates relayed by a frozen side process resumed after 1.6 s.
     */
    it('are selected at the second check, even if it is slightly early', async () => {
      sources.select({ local, remote })
      await time.advance(300)
      expect(sources.select({ local, remote })).to.equal(true)
      const remaining = local.slice(1)
      expect(sources.select({ local: remaining, remote })).to.equal(false)
      await time.advance(199)
      expect(sources.select({ local: remaining, remote })).to.equal(true)
    })

    it('are each engine\'s own side process once no local one has responded for a second', async () => {
      sources.select({ local, remote })
      await time.advance(300)
      sources.select({ local, remote })
      const selectedAtMs: number[] = []
      for (let ms = 0; ms <= 2000; ms += 100) {
        if (sources.select({ local: [], remote }) && sources.sourceOf(remote[0] ?? '') === remote[0]) selectedAtMs.push(ms)
        await time.advance(100)
      }
      expect(sources.subscriptionsAt(remote[0] ?? '', false)).to.deep.equal([remote[0]])
      expect(selectedAtMs.at(-1)).to.be.within(1000, 1400)
    })

    it('are, before the first selection, only the own side processes of local engines', () => {
      expect(sources.subscriptionsAt(local[0] ?? '', true)).to.deep.equal([local[0]])
      expect(sources.subscriptionsAt(remote[0] ?? '', false)).to.deep.equal([])
    })
  })
})
