/*
 * Guards against a listener's error ending the task that watches the store. The process survives the uncaught error and only logs
 * `process.uncaught`, but without the task it would never learn of another change to routes, servers or versions.
 */
import { silentLog } from '@finchpitch/core'
import { Facts, type Fact } from '@finchpitch/fleet'
import { expect } from 'chai'

const named = (revision: number): Fact => ({ kind: 'version', key: 'm/a', revision, value: { model: 'm', adapter: 'a', version: revision } })

describe('listeners to changes of facts', () => {
  it('are all notified even if one throws, and the error does not reach the source of the change', () => {
    const facts = new Facts(silentLog, () => 1000)
    const received: number[] = []
    facts.onChange(() => { throw new Error('listener failed') })
    facts.onChange(({ revision }) => { received.push(revision) })
    expect(facts.offer(named(2), 'store')).to.equal(true)
    expect(facts.offer(named(3), 'store')).to.equal(true)
    expect(received).to.deep.equal([2, 3])
  })
})
