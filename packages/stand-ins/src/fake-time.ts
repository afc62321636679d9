/**
 * The runtime's clock, paused: time passes only as a test says.
 *
 * Sockets and promises go on by themselves; timers and the date are the test's.
 */
import { install, type Clock } from '@sinonjs/fake-timers'

const faked = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] as const
const quietTurns = 3
const mostSteps = 200_000

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

export class FakeTime {
  readonly #clock: Clock

  constructor (now = Date.UTC(2026, 0, 1)) {
    this.#clock = install({ now, toFake: [...faked] })
  }

  /** Lets everything happen that needs no time. */
  async settle (turns = quietTurns): Promise<void> {
    for (let each = 0; each < turns; each++) await turn()
  }

  /** Lets `ms` pass, with everything that falls due. */
  async pass (ms: number): Promise<void> {
    await this.settle()
    await this.#clock.tickAsync(ms)
    await this.settle()
  }

  /** Lets `ms` pass at once, with the timers that fall due and nothing that waits for promises. */
  jump (ms: number): void {
    this.#clock.tick(ms)
  }

  /** The machine is suspended for `ms`: the time of day goes on, the steady clock and timers stand still. */
  suspend (ms: number): void {
    this.#clock.setSystemTime(Date.now() + ms)
  }

  /** Moves from timer to timer until `promise` has settled. */
  async until<T> (promise: Promise<T>): Promise<T> {
    let settled = false
    const mark = (): void => { settled = true }
    promise.then(mark, mark)
    for (let step = 0; step < mostSteps; step++) {
      await this.settle()
      if (settled) return await promise
      if (this.#clock.countTimers() > 0) await this.#clock.nextAsync()
    }
    throw new Error('nothing that time brings settles the promise')
  }

  restore (): void {
    this.#clock.uninstall()
  }
}
