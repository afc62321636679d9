/** The item with the lowest cost, the first of several; `undefined` if there are no items. */
export const minBy = <T>(items: readonly T[], cost: (item: T) => number): T | undefined => {
  let best: T | undefined
  let lowestCost = Infinity
  for (const item of items) {
    const itemCost = cost(item)
    if (best !== undefined && itemCost >= lowestCost) continue
    best = item
    lowestCost = itemCost
  }
  return best
}
