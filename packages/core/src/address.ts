/** Splits addresses of the form `IP:PORT`. */

/** The part before the port; an IPv6 address keeps its brackets. */
export const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'))

export const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1))

export const splitAddress = (address: string): { host: string, port: number } => ({ host: hostOf(address), port: portOf(address) })
