/**
 * The software version at which a stream that its caller takes up may go on, from what the processes say that keep records of streams.
 *
 * Load: callers that come back after an entry, a server or a connection was lost, to any entry. Each record is kept in two failure
 * domains, if there are as many, so that it is found without any one domain. One copy alone may be that of an earlier attempt, where the
 * record of the last one was lost, so it is believed only once nobody else can contradict it. Without a record, the stream began while
 * a single version was listed; that is believed if all domains agree. A domain that does not answer may be cut off together with the
 * records and with the news of a further version, so without it only the store can tell, read after the question was asked. Where
 * several versions were listed lately, each domain has to answer by a process that would have the record, as keepers of records may
 * have left. Of a stream that can't be identified, the version is known only if there was a single one.
 */

/** What a process that keeps records says of one stream. */
export interface OriginAnswer {
  domain: string
  /** The recorded version. */
  recorded?: string | undefined
  /** The version of all streams of the service that have no record; `undefined` if it can't tell. */
  unrecorded?: string | undefined
  /** Whether that is the version of all streams of the service, recorded or not. */
  single?: boolean | undefined
  /** Whether it would have the record, if one was kept in its domain. */
  keeps?: boolean | undefined
  /** Failure domains in which records may have been kept, as far as it knows. */
  domains?: number | undefined
}

export interface OriginQuestion {
  answers: readonly OriginAnswer[]
  /** Whether no further answers are expected. */
  complete: boolean
  /** Failure domains that have processes which keep records. */
  domains: number
  /** The version of streams without a record, as this process knows it. */
  unrecorded: string | undefined
  /** The only version of all streams of the service, by a list that was read from the store after the question was asked. */
  proven?: string | undefined
  /** Whether a record of the stream could be found. False if the caller does not say which stream it is. */
  identified: boolean
}

/** `pending`: a further answer may tell. */
export type OriginDecision = { type: 'known', version: string } | { type: 'pending' } | { type: 'unknown' }

/** Copies of each record, in different domains. */
export const recordCopies = 2

export const decideOrigin = ({ answers, complete, domains, unrecorded, proven, identified }: OriginQuestion): OriginDecision => {
  const recorded = new Set(answers.map(answer => answer.recorded).filter(version => version !== undefined))
  const [version] = recorded
  // A process that has just started may not know all domains.
  const knownDomains = Math.max(domains, ...answers.map(answer => answer.domains ?? 0))
  if (version !== undefined) {
    if (recorded.size > 1) return { type: 'unknown' }
    const copies = new Set(answers.filter(answer => answer.recorded !== undefined).map(({ domain }) => domain)).size
    return complete || copies >= Math.min(recordCopies, knownDomains) ? { type: 'known', version } : { type: 'pending' }
  }
  const said = new Set([...answers.map(answer => answer.unrecorded), ...(unrecorded === undefined ? [] : [unrecorded])])
  const [sole] = said
  const heard = new Set(answers.map(({ domain }) => domain)).size
  const heardKeepers = new Set(answers.filter(({ keeps }) => keeps === true).map(({ domain }) => domain)).size
  if (proven !== undefined && answers.every(answer => !contradicts(answer, proven))) return { type: 'known', version: proven }
  if (said.size === 1 && sole !== undefined) {
    const isSingle = answers.every(({ single }) => single === true) && heard > 0 && heard === knownDomains
    // A record that reached one domain only has to be ruled out as well where several versions were listed.
    if (isSingle || (identified && complete && heardKeepers === knownDomains)) return { type: 'known', version: sole }
  }
  return complete ? { type: 'unknown' } : { type: 'pending' }
}

/** Whether the answer tells of another version than the one that is said to be the only one. */
const contradicts = ({ unrecorded, single }: OriginAnswer, version: string): boolean =>
  unrecorded !== undefined && (unrecorded !== version || single === false)
