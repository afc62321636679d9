/** Which statuses a server's final response may have (RFC 9110, section 15). */

const lowest = 200
const highest = 599

/**
 * Whether a final response may have this status. Lower ones announce another response, or a switch of protocols, which is never asked
 * for here; all others are invalid. What such a response says can't be relied on, and its request may have run.
 */
export const isFinalStatus = (status: number): boolean => status >= lowest && status <= highest
