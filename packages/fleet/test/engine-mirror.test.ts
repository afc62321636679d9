import { EngineMirror } from '@finchpitch/fleet'
import { FakeTime } from '@finchpitch/stand-ins'
import type { EngineUpdateFrame } from '@finchpitch/wire'
import { expect } from 'chai'

describe('EngineMirror', () => {
  let time: FakeTime
  let mirror: EngineMirror

  const update = (more: Partial<EngineUpdateFrame> = {}): void => mirror.apply({ type: 'holding', host: '10.0.0.1', ...more })
  const all = { reachable: true, server: 's', waiting: 2, running: 3, unread: 4000, entries: 1, strangers: 0 }

  beforeEach(() => {
    time = new FakeTime()
    mirror = new EngineMirror()
    update({ whole: true, came: { 'm/a': 1 }, coming: ['m/c'], ...all })
  })

  afterEach(() => time.restore())

  it('applies incremental updates', () => {
    update({ came: { 'm/b': 2 }, went: ['m/a'], coming: [] })
    expect([...mirror.held]).to.deep.equal([['m/b', 2]])
    expect(mirror.coming).to.deep.equal([])
  })

  it('treats an unloaded adapter as a warm copy until the engine is replaced', () => {
    update({ went: ['m/a'] })
    expect(mirror.warm.version('m/a')).to.equal(1)
    update({ server: 't' })
    expect(mirror.warm.version('m/a')).to.equal(undefined)
  })

  it('replaces its state on a full update', () => {
    update({ whole: true, came: { 'm/z': 1 } })
    expect([...mirror.held.keys()]).to.deep.equal(['m/z'])
    expect(mirror.coming).to.deep.equal([])
  })

  it('reports a lost side process until the side process is connected again', () => {
    update({ lost: true })
    update({ waiting: 1 })
    expect(mirror.lost).to.equal(true)
    update({ lost: false })
    expect(mirror.lost).to.equal(false)
  })

  it('keeps fields that an incremental update omits', () => {
    update({ running: 5 })
    expect(mirror).to.include({ ...all, running: 5 })
    update({ reachable: false })
    expect(mirror).to.include({ ...all, running: 5, reachable: false })
  })

  it('resets fields that a full update omits', () => {
    update({ lost: true })
    update({ whole: true, reachable: true })
    expect(mirror).to.include({ reachable: true, server: undefined, lost: false, waiting: 0, running: 0, unread: 0, entries: 0 })
  })

  it('clears the engine\'s id if an update says that it is unknown', () => {
    update({ server: null })
    expect(mirror.server).to.equal(undefined)
  })

  it('applies updates of earlier software versions, which state a fencing token', () => {
    update({ ...all, fence: 7 })
    update({ running: 5, fence: 3 })
    expect(mirror).to.include({ ...all, running: 5 })
  })

  describe('after an early load notice', () => {
    it('lists the adapter immediately, and keeps it once an update confirms it', async () => {
      mirror.recordLoaded('m/b', 3)
      expect(mirror.held.get('m/b')).to.equal(3)
      update({ came: { 'm/b': 3 } })
      await time.advance(1500)
      update()
      expect(mirror.held.get('m/b')).to.equal(3)
    })

    it('drops the adapter if no update confirms it', async () => {
      mirror.recordLoaded('m/b', 3)
      await time.advance(1500)
      update()
      expect(mirror.held.has('m/b')).to.equal(false)
    })
  })
})
