import { expect } from 'chai'
import { BackendStandIn } from '@finchpitch/stand-ins'

describe('a plain stand-in with slots', () => {
  it('runs as many requests at a time as it has slots, keeps four more waiting for each, and rejects the rest unrun', async () => {
    // Without the bound, a benchmark of an overloaded plain service would measure a service that is never busy.
    const server = new BackendStandIn({ id: 'plain', slots: 1, workMs: 300, events: 0, eventMs: 0 })
    const origin = await server.start()
    try {
      const startedAt = performance.now()
      const ends = await Promise.all(Array.from({ length: 8 }, async () => {
        const response = await fetch(origin, { method: 'POST', body: '{}' })
        await response.text()
        return { status: response.status, notExecuted: response.headers.get('not-executed'), afterMs: performance.now() - startedAt }
      }))
      const served = ends.filter(each => each.status === 200)
      expect(served).to.have.length(5)
      expect(ends.filter(each => each.status === 503 && each.notExecuted === '1')).to.have.length(3)
      expect(Math.max(...served.map(each => each.afterMs))).to.be.at.least(1490)
    } finally {
      await server.stop()
    }
  })
})
