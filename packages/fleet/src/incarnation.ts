/** Identifiers that processes exchange for incarnations of servers and for their rate limits. */
import { longestLife, longestServerLimit } from '@finchpitch/wire'
import type { BackendServer } from './server.js'

/** Identifies one incarnation of a server: a restart under the same id gives another one. */
export const incarnationOf = ({ id, bornAt }: Pick<BackendServer, 'id' | 'bornAt'>): string => (bornAt === undefined ? id : `${id} ${bornAt}`).slice(0, longestLife)

/** Identifies a rate limit. Requests sent under one rate do not count towards another, so a lowered rate takes effect immediately. */
export const limitKeyOf = (incarnation: string, perSecond: number): string => `${incarnation} ${perSecond}`.slice(0, longestServerLimit)
