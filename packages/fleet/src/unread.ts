/**
 * Prompt tokens that an engine has been sent and has not read: when a change of them is worth telling.
 */

/** Fewer make no difference to a choice: some 60 ms of reading. */
const step = 2000

export const unreadDiffers = (told: number, now: number): boolean => Math.abs(now - told) >= step
