/**
 * A fake clock for tests: time only advances when the test advances it.
 *
 * Timers, `Date` and `performance` are faked. Sockets, promises and `setImmediate` work as usual.
 */
import { install, type Clock } from '@sinonjs/fake-timers'

const faked = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] as const
const defaultTurns = 3
const maxTimerSteps = 200_000
const advanceStepMs = 5

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

export class FakeTime {
  readonly #clock: Clock

  /** `followsRealTime`: time also advances by itself, for tests that wait for sockets and timers of other parties. */
  constructor (now = Date.UTC(2026, 0, 1), { followsRealTime = false } = {}) {
    this.#clock = install({ now, toFake: [...faked], shouldAdvanceTime: followsRealTime, advanceTimeDelta: advanceStepMs })
  }

  /** Waits for pending work that needs no timer: promise callbacks and socket events of the next `turns` event loop iterations. */
  async settle (turns = defaultTurns): Promise<void> {
    for (let each = 0; each < turns; each++) await nextTurn()
  }

  /** Advances time by `ms` and runs the timers that become due, with the promise callbacks between them. */
  async advance (ms: number): Promise<void> {
    await this.settle()
    await this.#clock.tickAsync(ms)
    await this.settle()
  }

  /** Advances time by `ms` synchronously: runs the timers that become due, but no promise callbacks. */
  advanceSync (ms: number): void {
    this.#clock.tick(ms)
  }

  /** Simulates a machine suspended for `ms`: the wall clock advances, the monotonic clock and the timers do not. */
  suspend (ms: number): void {
    this.#clock.setSystemTime(Date.now() + ms)
  }

  /** Advances from timer to timer until `promise` has settled; throws if it does not within `maxTimerSteps`. */
  async runUntilSettled<T> (promise: Promise<T>): Promise<T> {
    let settled = false
    const mark = (): void => { settled = true }
    promise.then(mark, mark)
    for (let step = 0; step < maxTimerSteps; step++) {
      await this.settle()
      if (settled) return await promise
      if (this.#clock.countTimers() > 0) await this.#clock.nextAsync()
    }
    throw new Error('the promise did not settle within the maximum number of timer steps')
  }

  restore (): void {
    this.#clock.uninstall()
  }
}
