import { silentLog } from '@finchpitch/core'
import { BackendServer, Facts, ServerStates, SideLinks } from '@finchpitch/fleet'
import { FakeTime, channelOptions, duplexPair } from '@finchpitch/stand-ins'
import { Channel } from '@finchpitch/wire'
import { expect } from 'chai'

const engineAt = (host: string): BackendServer => BackendServer.parse({ id: `engine-${host}`, service: 'engines', address: `${host}:80`, domain: 'a', slots: 4, leaving: false, models: [] })

describe('an entry\'s links to side processes', () => {
  let time: FakeTime
  let links: SideLinks
  let sides: Map<string, Channel>
  let appointmentChanges: number

  const sideAt = (host: string): Channel => sides.get(host) ?? expect.fail(`no channel to ${host}`)

  beforeEach(async () => {
    time = new FakeTime()
    sides = new Map()
    appointmentChanges = 0
    links = new SideLinks({
      process: 'entry',
      domain: 'a',
      facts: new Facts(silentLog, () => 1000),
      states: new ServerStates(),
      sidePort: 7,
      channel: channelOptions('entry'),
      dial: async address => {
        const [entryEnd, sideEnd] = duplexPair()
        const side = new Channel(sideEnd, channelOptions(`side-${address.split(':')[0]}`))
        sides.set(address.split(':')[0] ?? '', side)
        void (async () => { for await (const frame of side.frames()) void frame })()
        return entryEnd
      },
      log: silentLog,
      watching: () => false,
      ensureProof: async () => {},
      onEngineChange: () => {},
      granted: () => {},
      crashes: () => {},
      onReportAcknowledged: () => {},
      onLocalConnect: () => {},
      onAppointmentsChange: () => { appointmentChanges += 1 }
    })
    links.reconcile([engineAt('10.0.0.1'), engineAt('10.0.0.2')])
    await time.settle(10)
    for (const side of sides.values()) side.send({ type: 'appoint', watch: false, outage: false })
    await time.settle(10)
  })

  afterEach(() => {
    links.close()
    time.restore()
  })

  it('report at once that a side process which sent an appointment is lost', async () => {
    expect(links.appointments).to.have.length(2)
    appointmentChanges = 0
    sideAt('10.0.0.1').close()
    await time.settle(10)
    expect(appointmentChanges).to.equal(1)
    expect(links.appointments).to.have.length(1)
  })

  it('report an appointment at once', async () => {
    appointmentChanges = 0
    sideAt('10.0.0.1').send({ type: 'appoint', watch: true, outage: false })
    await time.settle(10)
    expect(appointmentChanges).to.equal(1)
    expect(links.appointments.filter(({ watch }) => watch)).to.have.length(1)
  })
})
