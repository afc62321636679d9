/*
 * Guards against a soak that goes on without a process: one that SIGHUP had ended before its runtime ran the first line of the program
 * was never started again, so that requests for the adapters of its engine were refused to the end.
 */
import { FleetSystem, eventually, type Machine } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('a fleet', function () {
  this.timeout(60_000)
  let fleet: FleetSystem
  let side: Machine

  before(async () => {
    fleet = new FleetSystem({ network: 75, domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 0, adapterSlots: 4, loadMs: 50, workMs: 5, events: 4, eventMs: 5 })
    await fleet.start()
    side = fleet.sides[0] as Machine
    // An entry may be connected to it before its first line has been written or read, by which a start is recognized.
    await eventually('the side process has logged its start', () => starts() > 0)
  })

  after(async () => { await fleet.stop() })

  const starts = (): number => fleet.lines(side).filter(line => line.event === 'process.started').length

  it('starts a process again that has ended by itself, and reports its end', async () => {
    const before = starts()
    side.process?.kill('SIGKILL')
    await eventually('the process has started again', () => starts() > before)
    const [exit, ...others] = fleet.unexpectedExits.splice(0)
    expect(exit).to.include({ machine: side.name, started: true, code: null, signal: 'SIGKILL' })
    expect(others).to.deep.equal([])
  })

  it('starts a process again that SIGHUP has ended before the program ran', async () => {
    await fleet.kill(side)
    const before = starts()
    await fleet.startProcess(side)
    side.process?.kill('SIGHUP')
    await eventually('the process has started again', () => starts() > before)
    const [exit, ...others] = fleet.unexpectedExits.splice(0)
    expect(exit).to.include({ machine: side.name, started: false, code: null, signal: 'SIGHUP' })
    expect(others).to.deep.equal([])
  })

  it('kills a process that exceeds its memory, and reports its end', async () => {
    await fleet.kill(side)
    const before = starts()
    const { memoryMb } = fleet.options
    fleet.options.memoryMb = { side: 20 }
    await fleet.startProcess(side)
    await eventually('a process has ended', () => fleet.unexpectedExits.length > 0)
    fleet.options.memoryMb = memoryMb
    await eventually('the process has started again', () => starts() > before)
    const [exit] = fleet.unexpectedExits.splice(0)
    expect(exit).to.include({ machine: side.name, outOfMemory: true, code: null, signal: 'SIGKILL' })
    expect(exit?.peakMb).to.be.greaterThan(20)
  })

  it('does not start a process again that the test has ended', async () => {
    await fleet.kill(side)
    expect(fleet.unexpectedExits).to.deep.equal([])
    await fleet.startProcess(side)
  })
})
