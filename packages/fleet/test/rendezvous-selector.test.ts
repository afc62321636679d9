import { RendezvousSelector } from '@finchpitch/fleet'
import { expect } from 'chai'

const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4']

describe('rendezvous selection of a side process', () => {
  let now: number
  const create = (purpose = 'quota'): RendezvousSelector => new RendezvousSelector({ purpose, skipMs: 2000, now: () => now })

  beforeEach(() => { now = 1000 })

  it('does not depend on the order of the hosts', () => {
    expect(create().choose(hosts)).to.equal(create().choose([...hosts].reverse()))
  })

  it('differs between purposes', () => {
    const chosen = Array.from({ length: 20 }, (_, each) => create(`matter ${each}`).choose(hosts))
    expect(new Set(chosen).size).to.be.greaterThan(1)
  })

  it('is the next one in order while the first is skipped', () => {
    const rendezvous = create()
    const first = rendezvous.choose(hosts) as string
    rendezvous.skip(first)
    now += 2000
    expect(rendezvous.choose(hosts)).to.equal(create().choose(hosts.filter(host => host !== first)))
    now += 1
    expect(rendezvous.choose(hosts)).to.equal(first)
  })

  it('is undefined while all hosts are skipped', () => {
    const rendezvous = create()
    for (const host of hosts) rendezvous.skip(host)
    expect(rendezvous.choose(hosts)).to.equal(undefined)
  })
})
