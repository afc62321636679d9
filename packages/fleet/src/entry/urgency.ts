/**
 * The rank that an engine is given for a request: the route's own first, and within it by what waiting costs.
 *
 * Engines read the prompts of better ranks first. A request that has little time left beyond its own reading is late
 * if anything goes before it, so it goes first; one that is late already loses nothing more and goes last.
 */

/** The least urgent rank that engines know. */
export const leastUrgent = 9
/** Ranks within one rank of a route. */
const steps = { tight: 0, ample: 1, late: 2 } as const
const stepsEach = 3
/** Less time to spare than this part of the objective is little: some two long prompts before it. */
const tightShare = 0.6

export interface Urgency {
  /** The route's rank, 0 being the most urgent. */
  priority: number
  objectiveMs: number
  /** Since the request came. */
  waitedMs: number
  /** To read its prompt, were it alone. */
  readingMs: number
}

export const rankOf = ({ priority, objectiveMs, waitedMs, readingMs }: Urgency): number => {
  const spareMs = objectiveMs - waitedMs - readingMs
  const step = spareMs < 0 ? steps.late : spareMs < objectiveMs * tightShare ? steps.tight : steps.ample
  return Math.min(leastUrgent, priority * stepsEach + step)
}
