/** The item of the least cost, the first among equals; `undefined` where there is none. */
export const lowest = <T>(items: readonly T[], cost: (item: T) => number): T | undefined => {
  let best: T | undefined
  let least = Infinity
  for (const item of items) {
    const itemCost = cost(item)
    if (best !== undefined && itemCost >= least) continue
    best = item
    least = itemCost
  }
  return best
}
