/**
 * Decides when a change in the number of prompt tokens that an engine has yet to prefill is worth reporting.
 */

/** Smaller changes do not affect load balancing: this many tokens are about 60 ms of prefill. */
const minDifference = 2000

export const isUnreadChangeSignificant = (reported: number, now: number): boolean => Math.abs(now - reported) >= minDifference
