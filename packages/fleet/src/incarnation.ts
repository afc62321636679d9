/** Identifiers that processes exchange for incarnations of servers and for the limits that servers advertise. */
import { maxIncarnationLength, maxServerLimitLength } from '@finchpitch/wire'
import type { BackendServer } from './server.js'

/** Identifies one incarnation of a server: a restart under the same id gives another one. */
export const incarnationOf = ({ id, bornAt }: Pick<BackendServer, 'id' | 'bornAt'>): string => (bornAt === undefined ? id : `${id} ${bornAt}`).slice(0, maxIncarnationLength)

/** Identifies an advertised limit. Requests sent under one do not count towards another, so a lowered limit takes effect immediately. */
export const limitKeyOf = (incarnation: string, perSecond: number): string => `${incarnation} ${perSecond}`.slice(0, maxServerLimitLength)
