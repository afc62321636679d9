/**
 * Limits the interim responses (1xx) that precede a response. `undici` reads them without a limit, and each restarts its time-out.
 */
const maxInterimResponses = 100

/** Options of one request, which fails if its server sends more. */
export const limitInterim = (): { onInfo: () => void } => {
  let count = 0
  return {
    onInfo: () => {
      count += 1
      if (count > maxInterimResponses) throw new Error(`more than ${maxInterimResponses} interim responses`)
    }
  }
}
