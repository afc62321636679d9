/*
 * An error in what follows from one change ended the task that watches the store for the rest of the process: it goes on after an
 * error that nobody took, with one line `process.uncaught`, and never learns of a route, a server or a version again. Found by
 * reading, as one of the ways in which an entry may be behind for good.
 */
import { quietLog } from '@finchpitch/core'
import { Facts, type Fact } from '@finchpitch/fleet'
import { expect } from 'chai'

const named = (revision: number): Fact => ({ kind: 'version', key: 'm/a', revision, value: { model: 'm', adapter: 'a', version: revision } })

describe('who listens to changes of facts', () => {
  it('does not keep others from them with an error, nor whoever brought the change', () => {
    const facts = new Facts(quietLog, () => 1000)
    const heard: number[] = []
    facts.onChange(() => { throw new Error('this listener fails') })
    facts.onChange(({ revision }) => { heard.push(revision) })
    expect(facts.offer(named(2), 'store')).to.equal(true)
    expect(facts.offer(named(3), 'store')).to.equal(true)
    expect(heard).to.deep.equal([2, 3])
  })
})
