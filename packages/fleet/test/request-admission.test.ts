import { RequestAdmission, boottimeMs, type Admission, type Denial, type RequestAdmissionOptions } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('admission of a request for a route that is not in the table', () => {
  const route = { name: 'r', priority: 2, public: true }
  let time: FakeTime
  let routeKnown: boolean
  let provenAt: number
  /** Runs at the end of each wait for a proof. */
  let onWaitEnd: () => void

  beforeEach(() => {
    time = new FakeTime()
    routeKnown = false
    provenAt = -Infinity
    onWaitEnd = () => {}
  })

  afterEach(() => time.restore())

  const admit = async (): Promise<Admission | Denial> => {
    const options = {
      facts: { routes: { requiresKey: false, find: () => routeKnown ? route : undefined } },
      lease: { held: true },
      confirmation: {
        isCurrent: (at: number) => provenAt >= at,
        awaitProof: async (maxMs: number) => {
          time.advanceSync(maxMs)
          onWaitEnd()
        }
      }
    } as unknown as RequestAdmissionOptions
    const incoming = { host: 'h', path: '/x', remainingMs: 1000, message: {} } as unknown as ConstructorParameters<typeof RequestAdmission>[1]
    return await new RequestAdmission(options, incoming).admit()
  }

  it('is refused as not run if no proof arrives', async () => {
    expect(await admit()).to.include({ type: 'denied', reason: 'table_not_confirmed' })
  })

  // The timer of the wait fired before the socket was read, and the request was refused.
  for (const [what, arrive, expected] of [
    ['the route', () => { routeKnown = true }, { type: 'admitted', route }],
    ['a proof', () => { provenAt = boottimeMs() }, { type: 'denied', reason: 'no_route' }]
  ] as const) {
    it(`reads ${what} that waits in a socket after this process stalled`, async () => {
      onWaitEnd = () => { setImmediate(arrive) }
      expect(await admit()).to.include(expected)
    })
  }
})
