/**
 * Time as this package measures it: milliseconds on the runtime's steady clock.
 *
 * The time of day may jump by minutes on one instance, so it is never used for a decision.
 */
export const nowMs = (): number => performance.now()
