/* Guards against a fleet of tests in which processes never overlap, settings are always whole and a stop out of order goes unnoticed. */
import { pause } from '@finchpitch/core'
import { FleetSystem, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('the processes of a fleet', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let entry: Machine
  let side: Machine

  before(async () => {
    fleet = new FleetSystem({ network: 169, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 0, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    entry = fleet.entries[0] as Machine
    side = fleet.sides[0] as Machine
  })

  after(async () => { await fleet.stop() })

  const isReady = async (): Promise<boolean> => await fetch(fleet.readyUrl()).then(({ ok }) => ok, () => false)
  const events = (machine: Machine, event: string): unknown[] => fleet.lines(machine).filter(line => line.event === event)

  it('overlap when one is replaced, and the order to stop is recorded', async () => {
    await eventually('the entry is ready', isReady)
    const former = entry.process
    const replaced = fleet.replaceProcess(entry, 50)
    await eventually('the next process has started', () => entry.process !== former)
    expect(former?.exitCode).to.equal(null)
    await replaced
    // Recorded once its output has been read to the end, which may be after its exit.
    await eventually('the stop is recorded', () => fleet.stops.length > 0)
    expect(fleet.stops.splice(0)).to.have.length(1).and.have.nested.property('[0].code', 0)
    await eventually('the next process is ready', isReady)
  })

  it('start while their settings are being written', async () => {
    await fleet.kill(side)
    await fleet.startProcess(side, { ms: 500, share: 0.5 })
    await eventually('the process has started', () => events(side, 'process.started').length > 1)
    expect(events(side, 'settings.awaited')).to.have.length(1)
  })

  it('keep their settings when these are written again', async () => {
    const reloads = events(side, 'settings.reloaded').length
    const written = fleet.writeSettings(side, { ms: 50, share: 0.5 })
    fleet.signal(side.process, 'SIGHUP')
    await eventually('cut off settings are refused', () => events(side, 'settings.not_valid').length > 0)
    await written
    fleet.signal(side.process, 'SIGHUP')
    await eventually('the settings are read', () => events(side, 'settings.reloaded').length > reloads)
  })

  it('are reported with the signals that were sent to them too early', async () => {
    await fleet.kill(side)
    await fleet.startProcess(side)
    fleet.signal(side.process, 'SIGUSR2')
    await eventually('the process has ended', () => fleet.unexpectedExits.length > 0)
    expect(fleet.unexpectedExits.splice(0)).to.have.length(1).and.have.deep.nested.property('[0].earlySignals', ['SIGUSR2'])
  })

  it('have no signals that were too early once they have written a line', async () => {
    const starts = events(side, 'process.started').length
    await eventually('the process has started again', () => events(side, 'process.started').length > starts)
    fleet.signal(side.process, 'SIGINT')
    await eventually('the process has ended', () => fleet.unexpectedExits.length > 0)
    expect(fleet.unexpectedExits.splice(0)[0]).to.deep.include({ machine: side.name, code: 0, earlySignals: [] })
  })

  it('all end with the fleet, also one that has been replaced', async () => {
    await eventually('the entry is ready', isReady)
    const former = entry.process
    former?.kill('SIGSTOP')
    const replaced = fleet.replaceProcess(entry, 0)
    await pause(100)
    await fleet.stop()
    await replaced
    expect(former?.signalCode).to.equal('SIGKILL')
  })
})
