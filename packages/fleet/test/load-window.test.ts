import { LoadWindow, mostAtOnce } from '@finchpitch/fleet'
import { expect } from 'chai'

describe('the window of loads', () => {
  it('closes while loads take longer than they did, and opens again', () => {
    const window = new LoadWindow()
    window.took(250)
    expect(window.limit).to.equal(mostAtOnce)
    for (let each = 0; each < 3; each++) window.took(1000)
    expect(window.limit).to.equal(1)
    for (let each = 0; each < 12; each++) window.took(260)
    expect(window.limit).to.equal(mostAtOnce)
  })

  it('forgets one load that was oddly quick', () => {
    const window = new LoadWindow()
    window.took(50)
    for (let each = 0; each < 100; each++) window.took(250)
    expect(window.limit).to.equal(mostAtOnce)
  })
})
