import { pause } from '@finchpitch/core'
import { ServerPresences, type BackendServer, type HealthAnswer } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const server: BackendServer = { id: 'i', service: 's', address: '127.0.0.1:1', domain: 'a', slots: 1, leaving: false, models: [] }
const present: HealthAnswer = { type: 'answered', status: 200, serverId: 'i' }
const silent: HealthAnswer = { type: 'failed', code: 'ETIMEDOUT' }

describe('whether a server is still there', () => {
  let time: FakeTime
  let asked: number

  beforeEach(() => {
    time = new FakeTime()
    asked = 0
  })

  afterEach(() => time.restore())

  /** Checks a server that gives these answers, the last one again and again. Each takes `ms`. */
  const presence = async (answers: readonly HealthAnswer[], ms = 1): Promise<string> => {
    const presences = new ServerPresences(async () => {
      const answer = answers[Math.min(asked++, answers.length - 1)] ?? silent
      await pause(ms)
      return answer
    })
    return (await time.runUntilSettled(presences.check(server, '/health'))).presence
  }

  const cases: Record<string, [answers: HealthAnswer[], presence: string]> = {
    'answers with its id': [[present], 'present'],
    'answers with its id that it is draining': [[{ ...present, status: 503 }], 'present'],
    'has been replaced by another one at its address': [[{ ...present, serverId: 'j' }], 'gone'],
    'refuses connections': [[{ type: 'failed', code: 'ECONNREFUSED' }], 'gone'],
    'loses the first question': [[silent, present], 'present'],
    'resets connections that are too many, and then takes one': [[{ type: 'failed', code: 'ECONNRESET' }, present], 'present'],
    'does not answer': [[silent], 'unknown'],
    'can\'t be reached': [[{ type: 'failed', code: 'EHOSTUNREACH' }], 'unknown'],
    'can\'t be asked, as this process has no descriptor left': [[{ type: 'failed', code: 'EMFILE' }], 'unknown'],
    'answers without an id': [[{ type: 'answered', status: 200, serverId: undefined }], 'unknown']
  }
  for (const [name, [answers, expected]] of Object.entries(cases)) {
    it(`is ${expected} if it ${name}`, async () => {
      expect(await presence(answers)).to.equal(expected)
    })
  }

  it('is decided within a second', async () => {
    const began = performance.now()
    expect(await presence([silent], 300)).to.equal('unknown')
    expect(asked).to.be.within(2, 4)
    expect(performance.now() - began).to.be.at.most(1000)
  })

  it('is not asked if the service has no path for that', async () => {
    expect(await new ServerPresences(async () => { throw new Error('asked') }).check(server, undefined)).to.include({ presence: 'unknown' })
  })

  describe('while another check is under way', () => {
    let answers: Array<(answer: HealthAnswer) => void>
    let presences: ServerPresences

    beforeEach(() => {
      answers = []
      presences = new ServerPresences(async () => await new Promise(resolve => answers.push(resolve)))
    })

    const answer = async (index: number, given: HealthAnswer): Promise<void> => {
      answers[index]?.(given)
      await time.advance(1)
    }

    // A response without a length looked complete, as the probe of another attempt had been accepted before the server ended.
    it('is asked again, once for all', async () => {
      const earlier = presences.check(server, '/health')
      const later = [presences.check(server, '/health'), presences.check(server, '/health')]
      await answer(0, present)
      await answer(1, { ...present, serverId: 'j' })
      expect((await Promise.all([earlier, ...later])).map(({ presence }) => presence)).to.deep.equal(['present', 'gone', 'gone'])
      expect(answers.length).to.equal(2)
    })

    it('is not asked again if it is found to be gone', async () => {
      const checks = [presences.check(server, '/health'), presences.check(server, '/health')]
      await answer(0, { type: 'failed', code: 'ECONNREFUSED' })
      expect((await Promise.all(checks)).map(({ presence }) => presence)).to.deep.equal(['gone', 'gone'])
      expect(answers.length).to.equal(1)
    })
  })
})
