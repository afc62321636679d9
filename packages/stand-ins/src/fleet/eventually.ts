/**
 * Polls for a condition that is expected to become true.
 */
import { pause } from '@finchpitch/core'

const pollMs = 20

/** Resolves once `check` returns true; rejects, with `what` in the message, if it does not within `ms`. */
export const eventually = async (what: string, check: () => boolean | Promise<boolean>, ms = 4000): Promise<void> => {
  const deadline = Date.now() + ms
  while (!await check()) {
    if (Date.now() > deadline) throw new Error(`condition not met within ${ms} ms: ${what}`)
    await pause(pollMs)
  }
}
