/**
 * What replays on a fake clock have in common, so that a seed always gives the same result.
 *
 * `FakeTime.advance` waits for real timers between the fake ones. On a busy machine several fake timers then become due before an
 * immediate of the first one runs, so that the order of events depends on the machine.
 */
import { suspendedMs } from '@finchpitch/fleet'
import type { FakeTime } from '@finchpitch/stand-ins'

/** Dates of tokens are rounded to steps that divide this time. */
const alignmentMs = 1000
/** The boot-time clock takes a shorter jump of the wall clock for a rounding error. */
const minSuspensionMs = 100

/** Advances time in steps of 1 ms, and runs the promise callbacks and immediates of each. */
export const advanceBySteps = async (time: FakeTime, ms: number): Promise<void> => {
  await time.settle()
  for (let left = ms; left > 0; left--) {
    time.advanceSync(Math.min(1, left))
    await time.settle()
  }
}

/**
 * Lets the boot-time clock differ from the monotonic one by whole multiples of `alignmentMs`, apart from a fraction of 1 ms: it keeps
 * the suspensions that earlier tests simulated or that a change between real and fake time looks like.
 */
export const alignBootClock = (time: FakeTime): void => {
  time.suspend(minSuspensionMs + alignmentMs - Math.floor(suspendedMs() + minSuspensionMs) % alignmentMs)
  suspendedMs()
}

/** Runs with random numbers from `random` also where production code takes them from `Math.random`. */
export const withRandom = async (random: () => number, run: () => Promise<void>): Promise<void> => {
  const { random: before } = Math
  Math.random = random
  try {
    await run()
  } finally {
    Math.random = before
  }
}
