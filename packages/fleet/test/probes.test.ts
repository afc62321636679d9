import { nowMs } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { ProbeSimulation } from './replay/probe-simulation.js'

/** All entries have to know of the third crash under a request after this time. */
const propagationMs = 3000
/** Maximum number of attempts after that. */
const maxAttempts = 3
/** Side processes grant no probes for some time after their start; this is longer. */
const warmupMs = 20_000
const durationMs = 90_000

describe('a request whose quarantine expires, across all entries', function () {
  this.timeout(120_000)
  let time: FakeTime
  let simulation: ProbeSimulation

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => {
    simulation.stop()
    time.restore()
  })

  const begin = async (entries: number): Promise<void> => {
    simulation = new ProbeSimulation(time, entries)
    await time.advance(warmupMs)
  }

  /** Number of attempts after the propagation time. */
  const lateAttempts = (): number => {
    const [, , third = Infinity] = [...simulation.crashTimes].sort((a, b) => a - b)
    return simulation.sentCopies.filter(({ at }) => at > third + propagationMs).length
  }

  describe('and that crashes its servers', () => {
    for (const entries of [3, 26, 68]) {
      for (const perSecond of [0.5, 5, 50]) {
        it(`is sent at most three more times: ${entries} entries, ${perSecond} copies per second`, async () => {
          await begin(entries)
          await simulation.run(durationMs, perSecond)
          expect(simulation.crashTimes.length).to.be.at.least(3)
          expect(lateAttempts()).to.be.at.most(maxAttempts)
        })
      }
    }

    const failures: Array<[string, (entry: number) => void]> = [
      ['the probing entry fails', entry => { (simulation.entries[entry] ?? expect.fail()).isolated = true }],
      ['all side processes fail during a probe', () => { for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) simulation.stopRelay(host) }],
      ['all side processes restart during a probe', () => { for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) simulation.startRelay(host) }]
    ]
    for (const [what, cause] of failures) {
      it(`is sent at most three more times if ${what}`, async () => {
        await begin(26)
        await simulation.run(3000, 20)
        simulation.onSend = cause
        await simulation.run(durationMs, 20)
        expect(lateAttempts()).to.be.at.most(maxAttempts)
      })
    }

    it('is not sent by an entry without contact to side processes', async () => {
      await begin(3)
      await simulation.run(3000, 20)
      for (const entry of simulation.entries) entry.isolated = true
      const before = simulation.sentCopies.length
      await simulation.run(durationMs, 20)
      expect(simulation.sentCopies.length).to.equal(before)
    })
  })

  describe('and that no longer crashes servers', () => {
    it('is sent once until that run completes, and then by all entries', async () => {
      await begin(26)
      await simulation.run(1000, 5)
      simulation.fatal = false
      const from = nowMs()
      await simulation.run(8000, 50)
      const sent = simulation.sentCopies.filter(({ at }) => at > from)
      const [probe] = sent
      const runMs = 120
      expect(sent.filter(({ at }) => at < (probe?.at ?? 0) + runMs)).to.have.length(1)
      simulation.refused = 0
      await simulation.run(1000, 50)
      expect(simulation.refused).to.equal(0)
    })
  })
})
