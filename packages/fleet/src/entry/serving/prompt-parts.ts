/**
 * The parts that a prompt shares with those of other requests, as the caller states them.
 *
 * The engine may cache a part for all requests that begin alike. A list that is malformed counts as none, since only the engine needs it
 * to be right. Parts beyond the maximum are not looked at, so that a caller can't make its request expensive to compare.
 */
const maxParts = 16
const statedPart = /^([0-9a-f]{1,64}):\d{1,9}$/i

/** Ids of the shared parts in order, in lower case and each once. `stated`: `ID:TOKENS` separated by commas; the last part is the request's own. */
export const sharedPartsOf = (stated: string | undefined): readonly string[] => {
  if (stated === undefined) return []
  const ids: string[] = []
  for (const part of stated.split(',', maxParts + 1)) {
    const [, id] = statedPart.exec(part.trim()) ?? []
    if (id === undefined) return []
    ids.push(id.toLowerCase())
  }
  return [...new Set(ids.slice(0, -1))]
}
