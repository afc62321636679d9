/** Names that processes use for lives of servers and for their limits. */
import { longestLife, longestServerLimit } from '@finchpitch/wire'
import type { BackendServer } from './server.js'

/** One life of a server: one that starts again under its id is another one. */
export const lifeOf = ({ id, bornAt }: Pick<BackendServer, 'id' | 'bornAt'>): string => (bornAt === undefined ? id : `${id} ${bornAt}`).slice(0, longestLife)

/** A limit. Requests that a figure allowed count for no other figure, so that a fall of it takes hold at once. */
export const limitNameOf = (life: string, perSecond: number): string => `${life} ${perSecond}`.slice(0, longestServerLimit)
