import { MeetingPlace } from '@finchpitch/fleet'
import { expect } from 'chai'

const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4']

describe('the side process through which entries meet', () => {
  let now: number
  const place = (matter = 'quota'): MeetingPlace => new MeetingPlace({ matter, passedByMs: 2000, now: () => now })

  beforeEach(() => { now = 1000 })

  it('is the same for all, in whichever order they know the hosts', () => {
    expect(place().choose(hosts)).to.equal(place().choose([...hosts].reverse()))
  })

  it('is another one for another matter, among enough of them', () => {
    const matters = Array.from({ length: 20 }, (_, each) => place(`matter ${each}`).choose(hosts))
    expect(new Set(matters).size).to.be.greaterThan(1)
  })

  it('is the next while the first is passed by', () => {
    const meeting = place()
    const first = meeting.choose(hosts) as string
    meeting.passBy(first)
    now += 2000
    expect(meeting.choose(hosts)).to.equal(place().choose(hosts.filter(host => host !== first)))
    now += 1
    expect(meeting.choose(hosts)).to.equal(first)
  })

  it('is none where all are passed by', () => {
    const meeting = place()
    for (const host of hosts) meeting.passBy(host)
    expect(meeting.choose(hosts)).to.equal(undefined)
  })
})
