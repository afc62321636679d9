/** Addresses as text, `IP:PORT`, taken apart. */

/** The part before the port. */
export const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'))

export const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1))

export const splitAddress = (address: string): { host: string, port: number } => ({ host: hostOf(address), port: portOf(address) })
