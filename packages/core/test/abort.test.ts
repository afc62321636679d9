import { onAbort } from '@finchpitch/core'
import { expect } from 'chai'

describe('onAbort', () => {
  let calls: number
  const act = (): void => { calls += 1 }

  beforeEach(() => { calls = 0 })

  // Guards against tasks that never end because their signal had aborted before they listened to it.
  it('calls the handler at once if the signal has already aborted', () => {
    onAbort(AbortSignal.abort(), act)
    expect(calls).to.equal(1)
  })

  it('calls the handler once when the signal aborts', () => {
    const controller = new AbortController()
    onAbort(controller.signal, act)
    expect(calls).to.equal(0)
    controller.abort()
    controller.abort()
    expect(calls).to.equal(1)
  })

  it('does not call a handler that was removed', () => {
    const controller = new AbortController()
    onAbort(controller.signal, act)()
    controller.abort()
    expect(calls).to.equal(0)
  })
})
