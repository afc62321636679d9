/**
 * Max-min fair division: divides a total among claimants so that nobody gets more than claimed, and what small claims leave goes
 * to the larger ones in equal parts.
 *
 * Handles one claimant that asks for many times what the others do: its share is what they leave, and theirs stays whole.
 */

/** The part of each claim that is met. */
export const divideMaxMin = (total: number, claims: ReadonlyMap<string, number>): Map<string, number> => {
  const parts = new Map<string, number>()
  const ascending = [...claims].sort(([, a], [, b]) => a - b)
  let left = Math.max(0, total)
  for (const [index, [name, claim]] of ascending.entries()) {
    const part = Math.min(Math.max(0, claim), left / (ascending.length - index))
    parts.set(name, part)
    left -= part
  }
  return parts
}
