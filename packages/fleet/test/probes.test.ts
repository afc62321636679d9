import { nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { ProbeReplay } from './replay/probe-replay.js'

/** From so long after the third server has ended under a request, all entries are to know. */
const contactMs = 3000
/** So many sendings are allowed after that. */
const mostSendings = 3
/** Side processes let nobody probe before they have been up for so long. */
const settledMs = 20_000
const playMs = 90_000

describe('a request whose quarantine lapses, over all entries', function () {
  this.timeout(120_000)
  let time: FakeTime
  let replay: ProbeReplay

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => {
    replay.stop()
    time.restore()
  })

  const begin = async (entries: number): Promise<void> => {
    replay = new ProbeReplay(time, entries)
    await time.pass(settledMs)
  }

  /** Those that came later than they may without a limit. */
  const late = (): number => {
    const [, , third = Infinity] = [...replay.ends].sort((a, b) => a - b)
    return replay.sendings.filter(({ at }) => at > third + contactMs).length
  }

  describe('that ends its servers', () => {
    for (const entries of [3, 26, 68]) {
      for (const perSecond of [0.5, 5, 50]) {
        it(`is sent three times more at most: ${entries} entries, ${perSecond} copies a second`, async () => {
          await begin(entries)
          await replay.play(playMs, perSecond)
          expect(replay.ends.length).to.be.at.least(3)
          expect(late()).to.be.at.most(mostSendings)
        })
      }
    }

    const losses: Array<[string, (entry: number) => void]> = [
      ['the entry that probes ends', entry => { (replay.entries[entry] ?? expect.fail()).deaf = true }],
      ['all side processes end as one probes', () => { for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) replay.endRelay(host) }],
      ['all side processes start anew as one probes', () => { for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) replay.startRelay(host) }]
    ]
    for (const [what, lose] of losses) {
      it(`is sent three times more at most where ${what}`, async () => {
        await begin(26)
        await replay.play(3000, 20)
        replay.sent = lose
        await replay.play(playMs, 20)
        expect(late()).to.be.at.most(mostSendings)
      })
    }

    it('is sent by no entry that reaches nobody', async () => {
      await begin(3)
      await replay.play(3000, 20)
      for (const entry of replay.entries) entry.deaf = true
      const before = replay.sendings.length
      await replay.play(playMs, 20)
      expect(replay.sendings.length).to.equal(before)
    })
  })

  describe('that ends them no more', () => {
    it('is run once until that shows, and then by all', async () => {
      await begin(26)
      await replay.play(1000, 5)
      replay.fatal = false
      const from = nowMs()
      await replay.play(8000, 50)
      const sent = replay.sendings.filter(({ at }) => at > from)
      const [probe] = sent
      const runMs = 120
      expect(sent.filter(({ at }) => at < (probe?.at ?? 0) + runMs)).to.have.length(1)
      replay.refused = 0
      await replay.play(1000, 50)
      expect(replay.refused).to.equal(0)
    })
  })
})
