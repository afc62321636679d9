import { Log } from '@finchpitch/core'
import { awaitClosed } from '@finchpitch/daemon'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('the end of a graceful shutdown', () => {
  let time: FakeTime
  let lines: Array<Record<string, unknown>>
  let log: Log

  beforeEach(() => {
    time = new FakeTime()
    lines = []
    log = new Log('shutdown', {}, 'info', { write: line => { lines.push(JSON.parse(line) as Record<string, unknown>) } })
  })

  afterEach(() => time.restore())

  // Guards against a process that never exits because one of its parts waits for a peer that does not answer.
  it('does not wait for a part that does not close, and names it', async () => {
    await time.runUntilSettled(awaitClosed({ peers: Promise.resolve(), tasks: new Promise(() => {}) }, log))
    expect(lines).to.have.length(1)
    expect(lines[0]).to.include({ level: 'warn', event: 'shutdown.incomplete' })
    expect(lines[0]?.open).to.deep.equal(['tasks'])
  })

  it('waits for parts that close, and logs nothing', async () => {
    let closed = false
    await time.runUntilSettled(awaitClosed({ peers: new Promise<void>(resolve => setTimeout(() => { closed = true; resolve() }, 1000)) }, log))
    expect([closed, lines]).to.deep.equal([true, []])
  })

  it('fails if a part fails to close', async () => {
    const failure = await awaitClosed({ peers: Promise.reject(new Error('not listening')) }, log).catch((error: Error) => error.message)
    expect(failure).to.equal('not listening')
  })
})
