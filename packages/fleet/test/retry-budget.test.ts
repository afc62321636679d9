import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'
import { RetrySimulation } from './replay/retry-simulation.js'

describe('the retry budget of all entries', function () {
  this.timeout(60_000)
  let time: FakeTime

  beforeEach(() => { time = new FakeTime() })
  afterEach(() => { time.restore() })

  describe('while many attempts fail', () => {
    // An entry that restarted had its whole share of the slack again, whatever its previous incarnation had spent in the same window.
    it('is kept although all entries are killed three times in a window', async () => {
      const simulation = new RetrySimulation(time, { seed: 1, entries: 4, perSecond: () => 20, failing: () => 0.6 })
      await simulation.run(8000)
      for (let kill = 0; kill < 3; kill++) {
        for (let entry = 0; entry < 4; entry++) simulation.kill(entry)
        await simulation.run(500)
        for (let entry = 0; entry < 4; entry++) simulation.start(entry)
        await simulation.run(2500)
      }
      await simulation.run(10_000)
      expect(simulation.maxExcess).to.be.at.most(0)
    })
  })
})
