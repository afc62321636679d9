import { FleetSystem, sendToFleet, eventually, type FleetRequest, type FleetResponse } from '@finchpitch/stand-ins'
import { RouteIndex, admit, credentialOf, hashKey, buildOutgoingRequest, type HeaderNames, type OutgoingContext, type Route } from '@finchpitch/fleet'
import { headerNames } from '@finchpitch/platform'
import { pause } from '@finchpitch/core'
import { expect } from 'chai'
import type { IncomingMessage } from 'node:http'

const names: HeaderNames = headerNames

const message = (rawHeaders: string[]): IncomingMessage => ({ rawHeaders, headers: {}, method: 'POST', url: '/p/x' }) as unknown as IncomingMessage

const route = (name: string, more: Partial<Route> = {}): Route => ({
  name, host: 'h', pathPrefix: `/${name}/`, kind: 'once', timeoutMs: 1000, objectiveMs: 100, priority: 2, maxAttempts: 1, resumable: false, targets: [{ service: 's', weight: 1 }], ...more
})

const routes = new RouteIndex({
  version: 1,
  routes: [route('p'), route('open', { public: true })],
  services: [],
  teams: [{ name: 'red', keys: [hashKey('red-1'), hashKey('red-2')], priority: 1 }, { name: 'blue', keys: [hashKey('blue-1')] }],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

describe('teams', () => {
  describe('the API key of a request', () => {
    const accepted: Array<[string, string[]]> = [
      ['plain', ['Authorization', 'Token red-1']],
      ['in lower case', ['authorization', 'token red-1']],
      ['in upper case', ['AUTHORIZATION', 'TOKEN red-1']],
      ['with extra spaces', ['Authorization', ' Token   red-1 ']],
      ['repeated identically', ['Authorization', 'Token red-1', 'authorization', 'Token red-1']]
    ]
    for (const [spelling, raw] of accepted) {
      it(`is accepted ${spelling}`, () => {
        expect(credentialOf(message(raw), names)).to.deep.equal({ type: 'key', hash: hashKey('red-1') })
      })
    }

    const rejected: Array<[string, string[]]> = [
      ['two different keys', ['Authorization', 'Token red-1', 'Authorization', 'Token blue-1']],
      ['another scheme', ['Authorization', 'Basic red-1']],
      ['no scheme', ['Authorization', 'red-1']],
      ['nothing after the scheme', ['Authorization', 'Token']],
      ['two words', ['Authorization', 'Token red-1 blue-1']]
    ]
    for (const [what, raw] of rejected) {
      it(`is invalid with ${what}`, () => {
        expect(credentialOf(message(raw), names)).to.deep.equal({ type: 'invalid' })
      })
    }

    it('is missing without the header', () => {
      expect(credentialOf(message(['X-Authorization', 'Token red-1']), names)).to.deep.equal({ type: 'none' })
    })
  })

  describe('admission', () => {
    const key = (text: string): Parameters<typeof admit>[1]['credential'] => ({ type: 'key', hash: hashKey(text) })

    it('identifies the team by its key and prefers the priority of the team', () => {
      expect(admit(routes, { host: 'h', path: '/p/x', credential: key('red-2'), tableConfirmed: true })).to.deep.include({ type: 'admitted', priority: 1 })
      expect(admit(routes, { host: 'h', path: '/p/x', credential: key('blue-1'), tableConfirmed: true })).to.deep.include({ type: 'admitted', priority: 2 })
    })

    it('denies an unknown, a missing and an invalid key', () => {
      for (const credential of [key('red-3'), { type: 'none' } as const, { type: 'invalid' } as const]) {
        expect(admit(routes, { host: 'h', path: '/p/x', credential, tableConfirmed: true })).to.deep.include({ type: 'denied', reason: 'key_not_known' })
      }
    })

    it('requires no key on a public route and ignores an unknown one', () => {
      const admitted = admit(routes, { host: 'h', path: '/open/x', credential: key('red-3'), tableConfirmed: true })
      expect(admitted).to.deep.include({ type: 'admitted', team: undefined })
    })

    it('neither accepts nor rejects a key while the table may be stale', () => {
      for (const credential of [key('red-1'), key('red-3')]) {
        expect(admit(routes, { host: 'h', path: '/p/x', credential, tableConfirmed: false })).to.deep.include({ type: 'denied', reason: 'keys_not_confirmed' })
      }
      expect(admit(routes, { host: 'h', path: '/p/x', credential: { type: 'none' }, tableConfirmed: false })).to.deep.include({ reason: 'key_not_known' })
      expect(admit(routes, { host: 'h', path: '/open/x', credential: { type: 'none' }, tableConfirmed: false })).to.deep.include({ type: 'admitted' })
      expect(admit(routes, { host: 'h', path: '/open/x', credential: key('red-1'), tableConfirmed: false })).to.deep.include({ reason: 'keys_not_confirmed' })
    })

    it('reports a missing route before a missing key', () => {
      expect(admit(routes, { host: 'h', path: '/q/x', credential: { type: 'none' }, tableConfirmed: true })).to.deep.include({ type: 'denied', reason: 'no_route' })
    })
  })

  describe('the request sent to a server', () => {
    const marks: OutgoingContext = { remainingMs: 100, server: 'i', engine: undefined, team: 'red', keyed: true, resumeAfter: undefined }
    const sent = (raw: string[], more: Partial<OutgoingContext> = {}): string[] => buildOutgoingRequest(message(raw), Buffer.alloc(0), names, { ...marks, ...more }).headers
    const valuesOf = (headers: string[], name: string): string[] => headers.filter((_value, at) => at % 2 === 1 && headers[at - 1]?.toLowerCase() === name)

    it('never contains the key, however spelled or repeated', () => {
      const headers = sent(['Authorization', 'Token red-1', 'AUTHORIZATION', 'Token red-1', 'authorization', 'x'])
      expect(valuesOf(headers, 'authorization')).to.deep.equal([])
      expect(headers.join()).to.not.include('red-1')
    })

    it('contains the name of the team, whatever the caller set', () => {
      expect(valuesOf(sent(['Tenant', 'blue', 'TENANT', 'green']), 'tenant')).to.deep.equal(['red'])
      expect(valuesOf(sent(['Tenant', 'blue', 'Connection', 'tenant']), 'tenant')).to.deep.equal(['red'])
    })

    it('contains no team if none is known', () => {
      expect(valuesOf(sent(['Tenant', 'blue'], { team: undefined }), 'tenant')).to.deep.equal([])
    })

    it('keeps these headers unchanged if the table has no teams', () => {
      const headers = sent(['Authorization', 'Token x', 'Tenant', 'blue'], { team: undefined, keyed: false })
      expect(valuesOf(headers, 'authorization')).to.deep.equal(['Token x'])
      expect(valuesOf(headers, 'tenant')).to.deep.equal(['blue'])
    })
  })

  describe('in a fleet of real processes', function () {
    this.timeout(60_000)
    let fleet: FleetSystem
    let sent = 0
    const send = (request: Omit<FleetRequest, 'id'> & { id?: string }): Promise<FleetResponse> => sendToFleet(fleet, { id: `team-request-${sent++}`, ...request })
    const withKey = (key: string): Record<string, string> => ({ authorization: `Token ${key}` })
    const tenants = (...keys: string[]): Record<string, unknown> => ({ tenants: [{ name: 'red', apiKeys: keys, priority: 0 }] })
    const publish = (more: Record<string, unknown>): void => { fleet.store.put('config', 'main', fleet.table(fleet.store.revision + 10, more)) }

    before(async () => {
      fleet = new FleetSystem({ network: 45, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 3, loadMs: 60, workMs: 5, events: 5, eventMs: 5 })
      await fleet.start()
      publish(tenants('red-key-one', 'red-key-two'))
      await eventually('keys are required', async () => (await send({ path: '/once/x' })).status === 401)
    })

    after(async () => { await fleet.stop() })

    it('runs a request with a key for its team, without passing the key on', async () => {
      const id = 'team-request-known'
      expect(await send({ id, path: '/once/x', headers: { ...withKey('red-key-one'), tenant: 'blue' } })).to.include({ status: 200 })
      const headers = fleet.plainServers[0]?.headers.get(id)
      expect(headers).to.include({ tenant: 'red' })
      expect(headers).to.not.have.property('authorization')
    })

    it('rejects a request with an unknown key or with two different keys, and does not run it', async () => {
      const id = 'team-request-unknown'
      expect(await send({ id, path: '/once/x', headers: withKey('green-key') })).to.include({ status: 401 })
      expect(await send({ path: '/stream/x', model: 'base/a1', headers: { authorization: ['Token red-key-one', 'Token green-key'] } })).to.include({ status: 401 })
      expect(fleet.plainServers[0]?.startedIds).to.not.include(id)
    })

    it('applies the revocation of a key, also to a waiting request', async () => {
      const engine = fleet.engines[0]
      if (engine === undefined) throw new Error('the fleet has no engine')
      engine.options.engine = { model: 'base', places: 3, loadMs: 700 }
      const waiting = send({ id: 'team-request-waiting', path: '/stream/x', model: 'base/a9', headers: withKey('red-key-two') })
      await pause(200)
      publish(tenants('red-key-one'))
      expect((await waiting).status).to.equal(401)
      expect(engine.startedIds).to.not.include('team-request-waiting')
      expect(await send({ path: '/once/x', headers: withKey('red-key-one') })).to.include({ status: 200 })
    })

    it('writes no key to the logs', () => {
      const lines = [...fleet.entries, ...fleet.sides].flatMap(machine => machine.output).join('\n')
      expect(lines).to.not.match(/red-key|green-key/)
      expect(lines).to.include('"team":"red"')
    })
  })
})
