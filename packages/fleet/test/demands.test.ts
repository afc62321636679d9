import { Demands } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import { expect } from 'chai'

describe('demands at a side process', () => {
  let time: FakeTime
  let demands: Demands

  beforeEach(() => {
    time = new FakeTime()
    demands = new Demands()
  })

  afterEach(() => time.restore())

  const keys = (): string[] => demands.prioritized().map(({ key }) => key)

  it('are met by rank, then by the requests that wait at all entries, then by age', async () => {
    demands.ask('entry-1', { key: 'm/late', waiting: 9, priority: 6 })
    demands.ask('entry-1', { key: 'm/older', waiting: 2, priority: 1 })
    await time.advance(10)
    demands.ask('entry-1', { key: 'm/newer', waiting: 2, priority: 1 })
    demands.ask('entry-1', { key: 'm/many', waiting: 2, priority: 1 })
    demands.ask('entry-2', { key: 'm/many', waiting: 1, priority: 3 })
    expect(keys()).to.deep.equal(['m/many', 'm/older', 'm/newer', 'm/late'])
  })

  // Guards against a slot and a load for a request that was served elsewhere or has ended.
  it('end when all entries have withdrawn them', () => {
    demands.ask('entry-1', { key: 'm/a', waiting: 2, priority: 1 })
    demands.ask('entry-2', { key: 'm/a', waiting: 1, priority: 1 })
    demands.ask('entry-1', { key: 'm/a', waiting: 0, priority: 1 })
    expect(keys()).to.deep.equal(['m/a'])
    demands.ask('entry-2', { key: 'm/a', waiting: 0, priority: 1 })
    expect(keys()).to.deep.equal([])
  })

  it('of an entry that fell silent expire alone', async () => {
    demands.ask('entry-1', { key: 'm/a', waiting: 2, priority: 1 })
    await time.advance(1000)
    demands.ask('entry-2', { key: 'm/a', waiting: 1, priority: 4 })
    await time.advance(1000)
    expect(demands.prioritized()).to.have.length(1)
    expect(demands.prioritized()[0]).to.include({ waiting: 1, priority: 4 })
  })

  it('expect a slot sooner where more slots become free, and later behind others', async () => {
    await time.advance(10_000)
    const before = demands.slotMs(0)
    for (let each = 0; each < 20; each++) {
      demands.recordUses('entry-1', [['m/a', 1, 1]])
      demands.recordUses('entry-1', [['m/a', 0, 0]])
    }
    expect(demands.slotMs(0)).to.be.lessThan(before / 2)
    expect(demands.slotMs(2)).to.be.closeTo(3 * demands.slotMs(0), 1)
  })
})
