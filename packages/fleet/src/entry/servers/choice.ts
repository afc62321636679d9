/**
 * Server selection: pure functions that pick the backend server for a request from a list of candidates.
 *
 * Plain servers are chosen by least load, or by their response times while the service is busy. An engine must hold the adapter; one in the entry's own failure domain is preferred,
 * since traffic between domains is charged. Loading an adapter from the weight store costs more than some eight requests across
 * domains, so a rarely used adapter is used where it is, and loaded in the entry's domain only once it is requested repeatedly.
 */
import { rendezvousScore, weightedRendezvousScore, hashOf, quickServers, quickerOfTwo } from '@finchpitch/decisions'
import { minBy } from '../../min-by.js'

export interface ServerCandidate {
  id: string
  /** Hash of the id. */
  hash: number
  domain: string
  /** Requests in progress or queued at the server. */
  load: number
  /** Requests that it processes at once. */
  slots: number
  /** Ejected as an outlier, unresponsive or unreachable: selected only as a last resort. */
  unhealthy: boolean
  /** Its entry in the store vanished without notice: selected only if no listed server is left. */
  fallback: boolean
  /** Recent response time of a plain server; absent if unknown. */
  responseMs?: number | undefined
}

export interface EngineCandidate extends ServerCandidate {
  /** Has the key loaded, in a version that may be used. */
  holds: boolean
  /** The key is being loaded. */
  coming: boolean
  /** Estimated time to the first token if the request were sent now. */
  expectedMs: number
  /** Has a copy of the key in its own memory, so that a load is quick and spares the weight store. */
  warm: boolean
  /** Its side process can be asked to load the key. */
  canRequestLoad: boolean
  /** Adapters that it could load now; `undefined` if that is not known, which counts as room. */
  room?: number | undefined
  /** Expected time until one more demand gets a slot, while there is no room. */
  slotMs?: number
  /** Expected time from the first to the last token; 0 while engines are about equally quick. */
  runMs?: number
  /** Its pace relative to the mean of the engines of its service, by which it gets adapters. */
  weight?: number
  /** A demand of this entry for the key waits there for a slot. */
  queued?: boolean
}

export type Choice =
  | { type: 'send', id: string, reason: string, expectedMs: number }
  /**
   * Wait for an adapter to load; `ask`: the engine to load it, if one is to be asked. `held`: engines have it loaded, so free
   * capacity there would also do. `readyInMs`: when it is expected to be loaded, if known.
   */
  | { type: 'bring', ask: string | undefined, held: boolean, reason: string, readyInMs?: number }
  /** Every candidate is in backoff, which it asked for; the first accepts requests again in `readyInMs`. */
  | { type: 'resting', readyInMs: number, reason: string }
  /**
   * Every candidate advertises a limit, and this entry may send none of them a request now: the first may be sent one in
   * `readyInMs`, and then one more every `everyMs`.
   */
  | { type: 'limited', readyInMs: number, everyMs: number, reason: string }
  /** Wait: every candidate is at capacity. `readyInMs`: when the first has capacity, if known. */
  | { type: 'full', reason: string, readyInMs?: number }
  /** There is no server to wait for. */
  | { type: 'none', reason: string }

/** Queue depth per engine beyond its batch: that is enough to keep it busy, and more would wait there instead of in this entry. */
const engineQueueDepth = 2
/** Queue depth per plain server beyond the requests that it processes at once. */
const plainQueueDepth = 4
/** How many more requests a server in the same domain may have before one in another domain is preferred. */
const crossDomainLoadPenalty = 3
/**
 * How much sooner a plain server in another domain must be expected to answer while the service is busy. It covers the way there;
 * a preference would leave servers idle whose domain has few callers.
 */
const busyCrossDomainMs = 10
/** Above this share of its batch an engine generates tokens noticeably slower, so a less loaded one is preferred. */
const busyThreshold = 0.75
/**
 * Expected times to the first token are compared in steps of this size: engines within one step count as equal, so that an
 * adapter's requests stay where its prompts are cached.
 */
const expectedStepMs = 50
/** How much sooner an engine in another domain must be expected to answer, as traffic between domains is charged. */
const crossDomainPenaltyMs = 60

/** The candidates that are healthy; if there are none, those that are listed; else all. */
const usable = <T extends ServerCandidate>(candidates: readonly T[]): T[] => {
  const healthy = candidates.filter(candidate => !candidate.unhealthy && !candidate.fallback)
  if (healthy.length > 0) return healthy
  const listed = candidates.filter(candidate => !candidate.fallback)
  return listed.length > 0 ? listed : [...candidates]
}

/** `busy`: the service has more requests than it serves at once, so response times say more of a server than own requests. */
export const choosePlain = (candidates: readonly ServerCandidate[], domain: string, busy = false, random: () => number = Math.random): Choice => {
  if (candidates.length === 0) return { type: 'none', reason: 'no server of the service' }
  const open = quickServers(usable(candidates).filter(candidate => candidate.load < candidate.slots + plainQueueDepth))
  const best = busy
    ? quickerOfTwo(open, candidate => candidate.domain === domain ? 0 : busyCrossDomainMs, random)
    : minBy(open, candidate => candidate.load + (candidate.domain === domain ? 0 : crossDomainLoadPenalty) + random())
  if (best === undefined) return { type: 'full', reason: 'all servers are full' }
  const reason = busy ? 'quickest' : 'least loaded'
  return { type: 'send', id: best.id, reason: best.domain === domain ? `${reason} near` : reason, expectedMs: 0 }
}

export interface EngineSelection {
  candidates: readonly EngineCandidate[]
  /** Those of the candidates that hold the key, in the same order, if that is known. */
  holders?: readonly EngineCandidate[]
  domain: string
  /** Adapter or model key. */
  key: string
  /** Time left until the first token misses its objective. */
  timeToObjectiveMs: number
  /** Adapters that each engine of the service can hold. */
  adapterSlots?: number | undefined
}

/** Time until a request can use an adapter that is loaded from the weight store, or from the engine's own memory. */
const coldLoadMs = 300
const warmLoadMs = 80
/** Extra wait that is accepted to avoid a load from the weight store: the cost of a load over the cost of a second of lateness. */
const coldLoadPenaltyMs = 300
/** Estimates differ a little between entries, so they are compared in steps of this size. */
const startStepMs = 200
/**
 * How much sooner another engine must be able to start to be chosen over the key's preferred engine by rendezvous hashing.
 * That one is likely to have a copy in memory, even if no entry knows of it.
 */
const affinityPenaltyMs = 500

/**
 * Whether a request whose attempt failed may go on with this choice: it is sent at once, or what it waits for can come within the
 * `maxWaitMs` in which waiting helps its caller.
 */
export const helpsRepeat = (choice: Choice, maxWaitMs: number): boolean => {
  if (choice.type === 'send') return true
  return choice.type !== 'none' && maxWaitMs >= (choice.type === 'bring' ? coldLoadMs : 0)
}

const hasCapacity = (candidate: ServerCandidate): boolean => candidate.load < candidate.slots + engineQueueDepth

/**
 * The engine expected to finish first; ties are broken by rendezvous hashing, so that the order changes only when engines join
 * or leave.
 */
const soonest = (candidates: readonly EngineCandidate[], { key, domain }: EngineSelection): EngineCandidate | undefined => {
  if (candidates.length < 2) return candidates[0]
  const keyHash = hashOf(key)
  const cost = (candidate: EngineCandidate): number =>
    Math.floor((candidate.expectedMs + (candidate.runMs ?? 0) + (candidate.domain === domain ? 0 : crossDomainPenaltyMs)) / expectedStepMs) + rendezvousScore(keyHash, candidate.hash)
  return minBy(candidates, cost)
}

export const chooseEngine = (choice: EngineSelection): Choice => {
  const { candidates } = choice
  if (candidates.length === 0) return { type: 'none', reason: 'no engine of the service' }
  const holders = usable(choice.holders ?? candidates.filter(candidate => candidate.holds))
  const open = holders.filter(hasCapacity)
  const notBusy = soonest(open.filter(candidate => candidate.load < candidate.slots * busyThreshold), choice)
  const best = notBusy ?? soonest(open, choice)
  if (best !== undefined) return sendOrReplicate(best, notBusy === undefined, choice)
  const held = holders.length > 0
  if (candidates.some(candidate => candidate.coming && !candidate.unhealthy)) return { type: 'bring', ask: undefined, held, reason: 'on its way' }
  const ask = held && !hasSpareRoom(choice) ? undefined : loadTarget(choice)?.id
  if (ask !== undefined) return { type: 'bring', ask, held, reason: bringReason(candidates, held) }
  if (held) return { type: 'full', reason: 'its holders are full' }
  // Restarted engines are listed about a second before their side processes can be asked to load adapters.
  return { type: 'bring', ask: undefined, held, reason: 'no engine can bring it in' }
}

const bringReason = (candidates: readonly EngineCandidate[], held: boolean): string => {
  if (!candidates.some(hasRoom)) return 'no engine has room'
  return held ? 'its holders are full' : 'held nowhere'
}

/**
 * A request that would miss its objective at the best holder waits for a new replica if it would meet the objective there.
 * Otherwise an adapter with more prompts than one engine can prefill would stay on one engine until its batch is full.
 */
const sendOrReplicate = (best: EngineCandidate, busy: boolean, choice: EngineSelection): Choice => {
  const { domain, timeToObjectiveMs, candidates } = choice
  const { id, expectedMs } = best
  const reason = busy ? 'held, busy' : best.domain === domain ? 'held near' : 'held across'
  const send: Choice = { type: 'send', id, reason, expectedMs }
  if (expectedMs < timeToObjectiveMs || candidates.some(candidate => candidate.coming && !candidate.unhealthy)) return send
  const other = hasSpareRoom(choice) ? loadTarget(choice) : undefined
  const otherMs = other === undefined ? Infinity : firstTokenAfterLoadMs(other, other.warm)
  if (otherMs > timeToObjectiveMs || otherMs + coldLoadPenaltyMs > expectedMs) return send
  return { type: 'bring', ask: other?.id, held: true, reason: 'its holders are slow' }
}

/** Time to the first token at an engine that has to load the adapter first; it prefills the prompts ahead during the load. */
const firstTokenAfterLoadMs = ({ expectedMs }: EngineCandidate, warm: boolean): number => Math.max(warm ? warmLoadMs : coldLoadMs, expectedMs)

/**
 * The engine that should load the key: one that can start soon, preferably with a copy in memory, and among equals the one with
 * the highest rendezvous affinity. All entries pick the same one, whatever their domain, so that simultaneous requests don't
 * create replicas: with a preferred engine per domain, 71.4% of 8,290 generations on 8 engines met the objective instead of 72.7%.
 *
 * The weight of an engine is its pace, so that one at half the pace is preferred for half as many adapters. That holds only while
 * the service has room to spare: when slots are short, a free slot of a slow engine is worth as much as any other.
 *
 * An engine without room starts later by the time until a slot is free there. So it is asked only if its slot is expected sooner
 * than an engine with room could load the key, or if no engine has room. A demand that already waits for a slot moves only to an
 * engine with room, since the time until a slot is free is uncertain.
 */
const loadTarget = (choice: EngineSelection): EngineCandidate | undefined => {
  const { candidates, key } = choice
  const weighted = hasSpareRoom(choice)
  const keyHash = hashOf(key)
  let best: EngineCandidate | undefined
  let lowestCost = Infinity
  for (const candidate of candidates) {
    if (!mayLoad(candidate)) continue
    const { warm } = candidate
    const cost = Math.floor(firstTokenAfterLoadMs(candidate, warm) / startStepMs) * startStepMs + (warm ? 0 : coldLoadPenaltyMs) +
      weightedRendezvousScore(keyHash, candidate.hash, weighted ? candidate.weight ?? 1 : 1) * affinityPenaltyMs + slotWaitMs(candidate)
    if ((best !== undefined && cost >= lowestCost) || !candidate.canRequestLoad) continue
    best = candidate
    lowestCost = cost
  }
  return best === undefined || hasRoom(best) ? best : candidates.find(candidate => candidate.queued && mayLoad(candidate) && candidate.canRequestLoad) ?? best
}

/** Whether the engine may load a key that no healthy engine is loading, if it can be asked to. */
const mayLoad = (candidate: EngineCandidate): boolean => !candidate.fallback && !candidate.unhealthy && hasCapacity(candidate) && !candidate.holds

const slotWaitMs = (candidate: EngineCandidate): number => hasRoom(candidate) ? 0 : candidate.slotMs ?? 0

const hasRoom = ({ room }: EngineCandidate): boolean => room === undefined || room > 0

/**
 * Whether enough slots are free for second copies of adapters. Below this share of all slots, a second copy would take the slot
 * that a request for an adapter without any copy waits for.
 */
const spareRoomShare = 0.1

const hasSpareRoom = ({ candidates, adapterSlots }: EngineSelection): boolean => {
  if (adapterSlots === undefined) return true
  const room = candidates.reduce((sum, candidate) => sum + (candidate.room ?? adapterSlots), 0)
  return room >= spareRoomShare * adapterSlots * candidates.length
}
