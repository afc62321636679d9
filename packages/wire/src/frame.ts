/**
 * Frames: what the system's own processes say to each other.
 *
 * On the wire a frame is a big-endian length of four bytes and that many bytes of CBOR. The schema below is the
 * one definition; a frame that doesn't fit it ends the connection it came on and nothing else.
 */
import { Address, Bytes, Failure, Headers, Incarnation, ProcessId, RequestFingerprint, Revision, FailureDomain, Serving, Work } from '@finchpitch/core'
import * as z from 'zod'

/** Raised when two versions can't talk to each other; the first frame carries it. */
export const protocolVersion = 5

const ExchangeId = z.number().int().nonnegative()

/** How a side process stands; learned from its replies, aged by the reader. */
export const Load = z.object({
  waiting: z.number().int().nonnegative(),
  running: z.number().int().nonnegative(),
  capacity: z.number().int().positive(),
  /** The sender's current key window. */
  epoch: z.number().int().nonnegative(),
  leaving: z.boolean()
})
export type Load = z.infer<typeof Load>

/**
 * How a process sees the store: it watches it, it tries to and is not answered, or it leaves that to others. One that
 * reads sends what it learns at once.
 */
export const StoreSight = z.enum(['reading', 'blind', 'resting'])
export type StoreSight = z.infer<typeof StoreSight>

/** Up to which revision of the store a process lacks nothing, for each kind of fact. */
export const Complete = z.object({ table: z.number().nonnegative(), server: z.number().nonnegative(), version: z.number().nonnegative() })
export type Complete = z.infer<typeof Complete>

export const Hello = z.object({
  type: z.literal('hello'),
  protocol: z.number().int(),
  process: ProcessId,
  incarnation: Incarnation,
  address: Address,
  domain: FailureDomain,
  revision: Revision,
  serving: Serving.optional(),
  load: Load.optional(),
  complete: Complete.optional()
})
export type Hello = z.infer<typeof Hello>

/** Something that the platform's store says, with the revision at which it last changed; `null` once it is gone. */
export const FactFrame = z.object({
  type: z.literal('fact'),
  kind: z.enum(['table', 'server', 'version']),
  key: z.string().max(500),
  /** A removal counts as half a revision after the last change. */
  revision: z.number().nonnegative(),
  /** Of a removal: the store's revision when it was seen. */
  seenAt: z.number().nonnegative().optional(),
  /** Of a removal: it is known to be none of those that an outage makes, which come back. */
  final: z.boolean().optional(),
  value: z.unknown()
})
export type FactFrame = z.infer<typeof FactFrame>

/** Characters of the longest adapter key that a frame carries. */
export const longestAdapterKey = 500
const AdapterKey = z.string().max(longestAdapterKey)
const Count = z.number().int().nonnegative()

/** Characters of the longest host that a frame carries; an IP number has 45 at most. */
export const longestHost = 64
/** Characters of the longest reason for declining. */
export const longestReason = 100
/** Characters of the longest name of a team. */
export const longestTeam = 200
/** Characters of what names one life of a server. */
export const longestLife = 200
/** Ends of servers, and runs that came to their end, that one frame tells of. */
export const mostCrashes = 500
/** Adapters of which one frame tells the uses. */
export const mostUses = 5000

/** The machine that an engine and its side process share, by its IP number. */
const Host = z.string().max(longestHost)

/**
 * What an engine holds and how full it is, told by its side process or by one that passes its news on. A field that is
 * absent has not changed since the last frame of this engine; after `whole` there was none.
 */
export const HoldingFrame = z.object({
  type: z.literal('holding'),
  host: Host,
  /** `came` lists all that is held, and what was told of this engine before is void. */
  whole: z.boolean().optional(),
  /** The engine answers its side process. */
  reachable: z.boolean().optional(),
  /** The engine's id; `null` where it is no longer known. */
  server: z.string().nullable().optional(),
  /** Unix ms of the engine's start; `null` where it is not known. */
  bornAt: z.number().nullable().optional(),
  /** The engine says itself that it leaves. */
  leaving: z.boolean().optional(),
  /** Adapter or model keys that came or changed since the last frame, each with the version held. */
  came: z.record(AdapterKey, z.number()).optional(),
  /** Keys held at the last frame and no longer. */
  went: z.array(AdapterKey).optional(),
  /** All keys on their way in. */
  coming: z.array(AdapterKey).optional(),
  /** The one that passes these news on has lost the engine's side process; until then, they are what it last said. */
  lost: z.boolean().optional(),
  /** Adapters that the engine has let go of and has at hand, with their versions; to a new peer only. */
  warm: z.array(z.tuple([AdapterKey, z.number()])).max(1000).optional(),
  waiting: Count.optional(),
  running: Count.optional(),
  /** Prompt tokens that requests of all entries have there and that are not read yet, as far as those have told. */
  unread: Count.optional(),
  /** Entries of the engine's failure domain that its side process hears. */
  entries: Count.optional(),
  /** Entries of other domains that it tells its news to directly, as they have no side process near. */
  strangers: Count.optional(),
  /** The fence that its orders carry, so that its next incarnation never uses a lower one. */
  fence: Count.optional()
})
export type HoldingFrame = z.infer<typeof HoldingFrame>

/** Tokens of a team's quota: its name, how many, and how many ms before the frame was made the oldest was earned. */
export const TokenAge = z.tuple([z.string().max(longestTeam), z.number().nonnegative(), z.number().nonnegative()])
export type TokenAge = z.infer<typeof TokenAge>

/** Characters of what names one life of a server and the limit that it names. */
export const longestServerLimit = longestLife + 30
const ServerLimit = z.string().max(longestServerLimit)

/** Requests that a server's limit allows: the limit, how many, and how many ms before the frame was made the oldest was earned. */
export const RequestAge = z.tuple([ServerLimit, z.number().nonnegative(), z.number().nonnegative()])
export type RequestAge = z.infer<typeof RequestAge>

/** Whole requests that an entry lacks at a server's limit: the limit, how many, and how many ms they last. */
export const RequestWant = z.tuple([ServerLimit, Count, z.number().nonnegative()])
export type RequestWant = z.infer<typeof RequestWant>

/** Limits of which one frame tells. */
export const mostLimits = 500

/**
 * What a server said of how many requests a second it takes: its life, the figure (`null` where it named none), and how many ms
 * before the frame was made the request was sent and its answer came.
 */
export const LimitAge = z.tuple([z.string().max(longestLife), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().nonnegative()])
export type LimitAge = z.infer<typeof LimitAge>

/** A server that ended under a request: the request's fingerprint, the server's life, and how many ms before the frame was made the request was sent and the server had ended. */
export const CrashAge = z.tuple([RequestFingerprint, z.string().max(longestLife), z.number().nonnegative(), z.number().nonnegative()])
export type CrashAge = z.infer<typeof CrashAge>

/** A run of a request that came to its end, and how many ms before the frame was made. */
export const SoundAge = z.tuple([RequestFingerprint, z.number().nonnegative()])
export type SoundAge = z.infer<typeof SoundAge>

export const Appointment = z.object({
  type: z.literal('appoint'),
  watch: z.boolean(),
  /** No entry that the sender hears is answered by the store. */
  outage: z.boolean()
})
export type Appointment = z.infer<typeof Appointment>

export const Frame = z.discriminatedUnion('type', [
  Hello,
  FactFrame,
  HoldingFrame,
  /** Asks a side process to bring an adapter in, `waiting` requests being held for it. */
  z.object({ type: z.literal('want'), key: AdapterKey, version: z.number().optional(), waiting: Count, priority: Count }),
  /** Asks for the news of the engines at these hosts and of no others. `relay`: the sender passes them on. */
  z.object({ type: z.literal('follow'), hosts: z.array(Host).max(5000), relay: z.boolean() }),
  /** Asks for all that the sender lacks of the store's facts, at once and from now on (`true`), or only what it still lacks after a while. */
  z.object({ type: z.literal('depend'), on: z.boolean() }),
  /** To one that depends on the sender: with what was sent before, it lacks nothing up to here. */
  z.object({ type: z.literal('caught_up'), complete: Complete }),
  /** Asks how fresh the receiver's routing table is. `stamp`: the sender's steady clock in ms; `revision`: of the table that it has. */
  z.object({ type: z.literal('ask_fresh'), stamp: z.number(), revision: z.number().nonnegative() }),
  /**
   * The answer. The table with `revision` was the newest `ageMs` before the stamp came, or later where that is 0; absent
   * where nothing proves it.
   */
  z.object({ type: z.literal('fresh'), stamp: z.number(), revision: z.number().nonnegative(), ageMs: z.number().nonnegative().optional() }),
  /**
   * An entry gives tokens of quotas that it doesn't need, and asks for some. `stamp`: its steady clock in ms. `echo`: the last
   * `bankStamp` on this channel and how long ago that came, by which it is known how long the frame was under way at most;
   * without one, nothing is given.
   */
  z.object({
    type: z.literal('quota'),
    stamp: z.number(),
    echo: z.object({ stamp: z.number(), heldMs: z.number().nonnegative() }).optional(),
    gives: z.array(TokenAge),
    wants: z.array(z.tuple([z.string().max(longestTeam), z.number().nonnegative()])),
    /** The same of requests to servers that name a limit. */
    servers: z.object({ gives: z.array(RequestAge), wants: z.array(RequestWant).max(mostLimits) }).optional()
  }),
  /** The answer to the frame with that stamp. `needed`: teams that were short of late, for which entries should give first. */
  z.object({
    type: z.literal('quota_grant'),
    stamp: z.number(),
    bankStamp: z.number(),
    grants: z.array(TokenAge),
    needed: z.array(z.string().max(longestTeam)),
    servers: z.array(RequestAge).optional()
  }),
  /**
   * Servers that ended under requests, requests that are sound, limits that servers name, and runs of requests whose quarantine had
   * lapsed. An entry's frame is answered by its `stamp`. `ask`: a request whose quarantine has lapsed, which the sender would run.
   */
  z.object({ type: z.literal('crashes'), stamp: z.number(), crashes: z.array(CrashAge).max(mostCrashes), sound: z.array(SoundAge).max(mostCrashes), limits: z.array(LimitAge).max(mostLimits).optional(), probes: z.array(SoundAge).max(mostCrashes).optional(), ask: RequestFingerprint.optional() }),
  /** The frame with that stamp has come, and goes on to the entries that the sender tells its news. `granted`: whether what it asks may be run. */
  z.object({ type: z.literal('crashes_noted'), stamp: z.number(), granted: z.boolean().optional() }),
  /** Whether the receiver, an entry, is one of those that watch the store for its failure domain. */
  Appointment,
  /** What the receiver asked for is held now. */
  z.object({ type: z.literal('arrived'), key: AdapterKey, version: z.number() }),
  /** It can't be brought in now. */
  z.object({ type: z.literal('declined'), key: AdapterKey, reason: z.string().max(longestReason) }),
  /**
   * Uses since the last such frame, and requests in progress, for each adapter that was used. `unread`: prompt tokens of
   * the sender's requests that the engine has not read yet.
   */
  z.object({ type: z.literal('uses'), uses: z.array(z.tuple([AdapterKey, Count, Count])).max(mostUses), unread: Count.optional() }),
  /** The highest fence that the receiver was ever known to use, or the newest revision known: it goes no lower. */
  z.object({ type: z.literal('fences'), highest: Count }),
  z.object({ type: z.literal('heartbeat'), revision: Revision, load: Load.optional(), complete: Complete.optional(), sight: StoreSight.optional() }),
  z.object({ type: z.literal('run'), id: ExchangeId, work: Work }),
  z.object({ type: z.literal('head'), id: ExchangeId, status: z.number().int(), headers: Headers, resident: z.boolean() }),
  z.object({ type: z.literal('chunk'), id: ExchangeId, sequence: z.number().int().nonnegative(), data: Bytes }),
  z.object({ type: z.literal('end'), id: ExchangeId, chunks: z.number().int().nonnegative(), bytes: z.number().int().nonnegative(), load: Load }),
  z.object({ type: z.literal('failure'), id: ExchangeId, failure: Failure, load: Load.optional() }),
  z.object({ type: z.literal('cancel'), id: ExchangeId }),
  z.object({ type: z.literal('credit'), id: ExchangeId, bytes: z.number().int().positive() }),
  /** Asks for the head and the shards that the sender lacks. */
  z.object({ type: z.literal('pull'), id: ExchangeId, shards: z.array(z.string().max(100)).max(2000) }),
  z.object({ type: z.literal('push'), id: ExchangeId, head: z.unknown(), shards: z.record(z.string(), z.string()) })
])
export type Frame = z.infer<typeof Frame>
export type FrameType = Frame['type']
export type FrameOf<T extends FrameType> = Extract<Frame, { type: T }>
