/**
 * Waiting for what is expected to come about.
 */
import { pause } from '@finchpitch/core'

const lookMs = 20

/** Resolves once `check` holds; rejects with `what` where it doesn't within `ms`. */
export const eventually = async (what: string, check: () => boolean | Promise<boolean>, ms = 4000): Promise<void> => {
  const until = Date.now() + ms
  while (!await check()) {
    if (Date.now() > until) throw new Error(`not within ${ms} ms: ${what}`)
    await pause(lookMs)
  }
}
