/**
 * The messages between the system's own processes.
 *
 * On the wire, a frame is a big-endian length of four bytes followed by that many bytes of CBOR. The schema below defines all
 * frames. A frame that does not match it closes the connection on which it arrived, and has no other effect.
 */
import { Address, Bytes, Failure, Headers, Incarnation, ProcessId, Fingerprint, Revision, FailureDomain, Serving, Work } from '@finchpitch/core'
import * as z from 'zod'

/** Incremented with each incompatible change of the protocol. The hello carries it, so that incompatible processes disconnect. */
export const protocolVersion = 6

const ExchangeId = z.number().int().nonnegative()

/** Load of a side process, as reported in its heartbeats and at the end of each response. */
export const LoadReport = z.object({
  waiting: z.number().int().nonnegative(),
  running: z.number().int().nonnegative(),
  capacity: z.number().int().positive(),
  /** The current key window of the sender (see `Binding`). */
  epoch: z.number().int().nonnegative(),
  leaving: z.boolean()
})
export type LoadReport = z.infer<typeof LoadReport>

/**
 * A process's access to the store: it watches the store, it tries to but gets no answer, or it leaves watching to other
 * processes. One that watches the store forwards what it reads without delay.
 */
export const StoreSight = z.enum(['reading', 'blind', 'resting'])
export type StoreSight = z.infer<typeof StoreSight>

/** For each kind of fact, the store revision up to which a process has everything. */
export const CompleteRevisions = z.object({ table: z.number().nonnegative(), server: z.number().nonnegative(), version: z.number().nonnegative() })
export type CompleteRevisions = z.infer<typeof CompleteRevisions>

export const Hello = z.object({
  type: z.literal('hello'),
  protocol: z.number().int(),
  process: ProcessId,
  incarnation: Incarnation,
  address: Address,
  domain: FailureDomain,
  revision: Revision,
  serving: Serving.optional(),
  load: LoadReport.optional(),
  complete: CompleteRevisions.optional()
})
export type Hello = z.infer<typeof Hello>

/** A record of the platform's store with the revision at which it last changed. Its value is `null` if the record was removed. */
export const FactFrame = z.object({
  type: z.literal('fact'),
  kind: z.enum(['table', 'server', 'version']),
  key: z.string().max(500),
  /** A removal has the revision of the last change plus one half. */
  revision: z.number().nonnegative(),
  /** For a removal: the store's revision at which it was observed. */
  seenAt: z.number().nonnegative().optional(),
  /** For a removal: it is certainly not one caused by an outage, after which the server is registered again. */
  final: z.boolean().optional(),
  value: z.unknown()
})
export type FactFrame = z.infer<typeof FactFrame>

/**
 * The keys of all facts of one kind as of `revision`. A peer that has read less discards its other facts up to there, whose removals
 * the sender does not know.
 */
export const Listing = z.object({ kind: FactFrame.shape.kind, revision: z.number().nonnegative(), keys: z.array(z.string().max(500)) })
export type Listing = z.infer<typeof Listing>

/** Maximum length of an adapter key, in characters. */
export const maxAdapterKeyLength = 500
const AdapterKey = z.string().max(maxAdapterKeyLength)
const Count = z.number().int().nonnegative()

/** Maximum length of a host; an IP address has at most 45 characters. */
export const maxHostLength = 64
/** Maximum length of the reason in a `declined` frame. */
export const maxReasonLength = 100
/** Maximum length of a team's name. */
export const maxTeamNameLength = 200
/** Maximum number of teams for which an entry requests allowances of one service. */
export const maxTeamsPerShortfall = 100
/** Maximum length of the id of a server incarnation. */
export const maxIncarnationLength = 200
/** Maximum number of crashes in one frame; also that of completed runs and of probes. */
export const maxCrashesPerFrame = 500
/** Maximum number of adapters in one `uses` frame. */
export const maxUsesPerFrame = 5000

/** The IP address of the machine on which an engine and its side process run. */
const Host = z.string().max(maxHostLength)

/**
 * State of an engine, sent by its side process or by another one that relays its updates. Updates are deltas: an absent
 * field has not changed since the previous frame for this engine. With `whole`, there is no previous frame.
 */
export const EngineUpdateFrame = z.object({
  type: z.literal('holding'),
  host: Host,
  /** The frame is a full snapshot: `came` lists everything that is loaded, and earlier state of this engine is discarded. */
  whole: z.boolean().optional(),
  /** Whether the engine answers its side process. */
  reachable: z.boolean().optional(),
  /** The engine's id; `null` if it is no longer known. */
  server: z.string().nullable().optional(),
  /** Start time of the engine in Unix ms; `null` if unknown. */
  bornAt: z.number().nullable().optional(),
  /** Whether the engine reports that it is draining. */
  leaving: z.boolean().optional(),
  /** Keys of adapters and models that were loaded or changed version since the previous frame, with their versions. */
  came: z.record(AdapterKey, z.number()).optional(),
  /** Keys that have been unloaded since the previous frame. */
  went: z.array(AdapterKey).optional(),
  /** All keys that are being loaded. */
  coming: z.array(AdapterKey).optional(),
  /** Whether the relaying process has lost its connection to the engine's side process, so that this is the last known state. */
  lost: z.boolean().optional(),
  /** Adapters that were unloaded but are still cached in the engine's memory, with their versions. Sent only to a new peer. */
  warm: z.array(z.tuple([AdapterKey, z.number()])).max(1000).optional(),
  waiting: Count.optional(),
  running: Count.optional(),
  /** Prompt tokens of all entries' requests that the engine has not processed yet, as far as the entries have reported them. */
  unread: Count.optional(),
  /** Adapters that the engine could load now: free slots and idle adapters, less the demands that wait for one. */
  room: Count.optional(),
  /** While `room` is 0: the expected time in ms until one more demand gets a slot. */
  slotMs: Count.optional(),
  /** The engine's pace as measured by all entries: prefill time in ms per 1000 prompt tokens; `null` if unknown. */
  prefillMs: z.number().nonnegative().nullable().optional(),
  /** Run time in ms per output token that requests state as their maximum; `null` if unknown. */
  tokenMs: z.number().nonnegative().nullable().optional(),
  /** Entries of the engine's own failure domain that are connected to its side process. */
  entries: Count.optional(),
  /** Entries of other failure domains that subscribe directly, because their own domain has no side process. */
  strangers: Count.optional(),
  /** Sent by earlier software versions: the fencing token of the side process's orders. */
  fence: Count.optional()
})
export type EngineUpdateFrame = z.infer<typeof EngineUpdateFrame>

/** Quota tokens of a team: the team, the number of tokens, and the age of the oldest in ms when the frame was created. */
export const AgedTokens = z.tuple([z.string().max(maxTeamNameLength), z.number().nonnegative(), z.number().nonnegative()])
export type AgedTokens = z.infer<typeof AgedTokens>

/** Quota tokens that an entry lacks: the team, the number of tokens, and how many of them are for waiting requests of returning callers and of others. */
export const TokenShortfall = z.tuple([z.string().max(maxTeamNameLength), z.number().nonnegative(), z.number().nonnegative().optional(), z.number().nonnegative().optional()])
export type TokenShortfall = z.infer<typeof TokenShortfall>

/** Tokens per second of a team's quota that callers ask for. */
export const TokenDemand = z.tuple([z.string().max(maxTeamNameLength), z.number().nonnegative()])
export type TokenDemand = z.infer<typeof TokenDemand>

/** Maximum length of a service's name. */
export const maxServiceNameLength = 200

/** The part of a team's demand that goes to one service. */
export const ServiceTokenDemand = z.tuple([z.string().max(maxTeamNameLength), z.string().max(maxServiceNameLength), z.number().nonnegative()])
export type ServiceTokenDemand = z.infer<typeof ServiceTokenDemand>

/** Tokens of a team that are left at the bank; negative if waiting requests lack some. */
export const TokensLeft = z.tuple([z.string().max(maxTeamNameLength), z.number()])
export type TokensLeft = z.infer<typeof TokensLeft>

/** Maximum length of the id of a server incarnation together with the limit that it states. */
export const maxServerLimitLength = maxIncarnationLength + 30
const ServerLimit = z.string().max(maxServerLimitLength)

/** Requests allowed by a limit that a server states: the limit, the number of requests, and the age of the oldest allowance in ms when the frame was created. */
export const AgedRequests = z.tuple([ServerLimit, z.number().nonnegative(), z.number().nonnegative()])
export type AgedRequests = z.infer<typeof AgedRequests>

/** Requests that an entry lacks under a server's limit: the limit, the number of requests, and the lifetime of an allowance in ms. */
export const RequestShortfall = z.tuple([ServerLimit, Count, z.number().nonnegative()])
export type RequestShortfall = z.infer<typeof RequestShortfall>

/** Maximum number of services in one frame. */
export const maxServicesPerFrame = 100
const ServiceName = z.string().max(maxServiceNameLength)

/** Requests that may be sent to a service: its name, the number of requests, and the age of the oldest allowance in ms when the frame was created. */
export const AgedServiceRequests = z.tuple([ServiceName, z.number().nonnegative(), z.number().nonnegative()])
export type AgedServiceRequests = z.infer<typeof AgedServiceRequests>

/** Retries of a service's requests that an entry lacks tokens for: the service, the number of retries, and the lifetime of a token in ms. */
export const RetryShortfall = z.tuple([ServiceName, z.number().nonnegative(), z.number().nonnegative()])
export type RetryShortfall = z.infer<typeof RetryShortfall>

/** Requests to a service that an entry lacks allowances for, by team. Requests without a team count under an empty name. */
export const ServiceShortfall = z.tuple([ServiceName, z.array(z.tuple([z.string().max(maxTeamNameLength), z.number().nonnegative()])).max(maxTeamsPerShortfall)])
export type ServiceShortfall = z.infer<typeof ServiceShortfall>

/** Maximum number of server limits in one frame. */
export const maxLimitsPerFrame = 500

/**
 * The request rate that a server stated in a response: the server's incarnation, the requests per second (`null` if it stated
 * none), and the ages in ms of the request and of the response when the frame was created.
 */
export const LimitReport = z.tuple([z.string().max(maxIncarnationLength), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().nonnegative()])
export type LimitReport = z.infer<typeof LimitReport>

/** A server crash during a request: the request's fingerprint, the server's incarnation, and the ages in ms of the request and of the crash when the frame was created. */
export const CrashReport = z.tuple([Fingerprint, z.string().max(maxIncarnationLength), z.number().nonnegative(), z.number().nonnegative()])
export type CrashReport = z.infer<typeof CrashReport>

/** A run of a request that completed without a crash: the request's fingerprint, and the age of the completion in ms when the frame was created. */
export const CompletedRunReport = z.tuple([Fingerprint, z.number().nonnegative()])
export type CompletedRunReport = z.infer<typeof CompletedRunReport>

/** Maximum length of a request's id in a record of its stream; streams of longer ones are not recorded. */
export const maxRequestIdLength = 200
/** Maximum number of records of streams in one frame. */
export const maxStreamsPerFrame = 500
const RequestName = z.string().max(maxRequestIdLength)
/** Maximum length of a software version. */
export const maxSoftwareVersionLength = 200
const SoftwareVersion = z.string().max(maxSoftwareVersionLength)

/** A stream that has begun: its service, the id of the request that began it, and the software version of the server that runs it. */
export const StreamRecord = z.tuple([ServiceName, RequestName, SoftwareVersion])
export type StreamRecord = z.infer<typeof StreamRecord>

/** What a side process knows of the software version at which a stream began; see `decideOrigin`. */
export const StreamOriginReply = z.object({ recorded: SoftwareVersion.optional(), unrecorded: SoftwareVersion.optional(), single: z.boolean().optional(), keeps: z.boolean().optional(), domains: z.number().int().nonnegative().optional() })
export type StreamOriginReply = z.infer<typeof StreamOriginReply>

/** Tells an entry whether it is one of those that watch the store for its failure domain. */
export const Appointment = z.object({
  type: z.literal('appoint'),
  watch: z.boolean(),
  /** Whether the store answers none of the entries that are connected to the sender. */
  outage: z.boolean()
})
export type Appointment = z.infer<typeof Appointment>

export const Frame = z.discriminatedUnion('type', [
  Hello,
  FactFrame,
  EngineUpdateFrame,
  /**
   * Asks a side process to load an adapter, for which `waiting` requests are queued; 0 withdraws the demand. `priority`: the rank
   * of the most urgent of them. `keep`: the engine is known to have no room, so the demand waits for a slot instead of being
   * declined.
   */
  z.object({ type: z.literal('want'), key: AdapterKey, version: z.number().optional(), waiting: Count, priority: Count, keep: z.boolean().optional() }),
  /** Subscribes to the updates of the engines on these hosts, and of no others. `relay`: the sender relays them to entries. */
  z.object({ type: z.literal('follow'), hosts: z.array(Host).max(5000), relay: z.boolean() }),
  /** Asks for the facts that the sender lacks: each immediately from now on (`true`), or only those that it still lacks after a delay. */
  z.object({ type: z.literal('depend'), on: z.boolean() }),
  /** Sent to a peer that depends on the sender: with the facts sent before, it has everything up to these revisions. */
  z.object({ type: z.literal('caught_up'), complete: CompleteRevisions }),
  /** Asks for a freshness proof of the routing table. `stamp`: the sender's boot-time clock in ms; `revision`: that of the sender's table. */
  z.object({ type: z.literal('ask_fresh'), stamp: z.number(), revision: z.number().nonnegative() }),
  /**
   * The answer to `ask_fresh`. The table with `revision` was the newest `ageMs` before the request arrived, or later if `ageMs`
   * is 0. `ageMs` is absent if there is no proof.
   */
  z.object({ type: z.literal('fresh'), stamp: z.number(), revision: z.number().nonnegative(), ageMs: z.number().nonnegative().optional() }),
  /**
   * An entry returns quota tokens that it doesn't need, and asks for some. `stamp`: its boot-time clock in ms. `echo`: the last
   * `bankStamp` received on this channel and how long ago it arrived, which bounds the transit time of this frame. Without an
   * `echo`, no tokens are transferred.
   */
  z.object({
    type: z.literal('quota'),
    stamp: z.number(),
    echo: z.object({ stamp: z.number(), heldMs: z.number().nonnegative() }).optional(),
    gives: z.array(AgedTokens),
    wants: z.array(TokenShortfall),
    /** Tokens set aside for callers that were told to return by now, at whichever entry they arrive. */
    booked: z.array(AgedTokens).optional(),
    /** The demand at the sender, for teams in `wants` and those over their quota. */
    demand: z.array(TokenDemand).optional(),
    /** The same by service, for teams that are short of tokens. */
    serviceDemand: z.array(ServiceTokenDemand).optional(),
    /** The same for requests to servers that state a limit. */
    servers: z.object({ gives: z.array(AgedRequests), wants: z.array(RequestShortfall).max(maxLimitsPerFrame) }).optional(),
    /** The same for requests to busy plain services. `busy`: services that the sender itself finds busy while it lacks allowances. */
    services: z.object({
      gives: z.array(AgedServiceRequests),
      wants: z.array(ServiceShortfall).max(maxServicesPerFrame),
      busy: z.array(ServiceName).max(maxServicesPerFrame)
    }).optional(),
    /** The same for retries. `wants` has all services for which some entry lacks tokens, with 0 where the sender lacks none. */
    retries: z.object({ gives: z.array(AgedServiceRequests), wants: z.array(RetryShortfall).max(maxServicesPerFrame) }).optional()
  }),
  /** The answer to the `quota` frame with that stamp. `needed`: teams that recently lacked tokens, whose tokens entries should return first. */
  z.object({
    type: z.literal('quota_grant'),
    stamp: z.number(),
    bankStamp: z.number(),
    grants: z.array(AgedTokens),
    needed: z.array(z.string().max(maxTeamNameLength)),
    /** The demand at all entries that lately lacked tokens, for teams that are short of some. */
    demand: z.array(TokenDemand).optional(),
    /** The same by service. */
    serviceDemand: z.array(ServiceTokenDemand).optional(),
    /** What is left of the tokens of these teams. */
    left: z.array(TokensLeft).optional(),
    servers: z.array(AgedRequests).optional(),
    /** `short`: the teams of each service that got less than was wanted. `busy`: services that entries have lately reported as busy. */
    services: z.object({
      grants: z.array(AgedServiceRequests),
      short: z.array(z.tuple([ServiceName, z.array(z.string().max(maxTeamNameLength)).max(maxTeamsPerShortfall)])).max(maxServicesPerFrame),
      busy: z.array(ServiceName).max(maxServicesPerFrame)
    }).optional(),
    /** `lacking`: retries of each service that other entries lack tokens for. */
    retries: z.object({ grants: z.array(AgedServiceRequests), lacking: z.array(z.tuple([ServiceName, z.number().nonnegative()])).max(maxServicesPerFrame) }).optional()
  }),
  /**
   * Attempt reports: server crashes during requests, requests that completed, limits stated by servers, and probes, which are
   * runs of requests whose quarantine has expired, plain services that have become busy (`busy`), and services for which the sender
   * lacks retries (`retrying`). A frame from an entry is acknowledged with its `stamp`. `ask`: a request whose quarantine has expired
   * and which the sender asks to run as a probe. `streams`: streams that the sender has begun; such a frame is not acknowledged.
   * `askStream`: the service of a stream that is taken up, and the id of the request that began it.
   */
  z.object({ type: z.literal('crashes'), stamp: z.number(), crashes: z.array(CrashReport).max(maxCrashesPerFrame), sound: z.array(CompletedRunReport).max(maxCrashesPerFrame), limits: z.array(LimitReport).max(maxLimitsPerFrame).optional(), probes: z.array(CompletedRunReport).max(maxCrashesPerFrame).optional(), busy: z.array(ServiceName).max(maxServicesPerFrame).optional(), retrying: z.array(ServiceName).max(maxServicesPerFrame).optional(), ask: Fingerprint.optional(), streams: z.array(StreamRecord).max(maxStreamsPerFrame).optional(), askStream: z.tuple([ServiceName, RequestName]).optional() }),
  /** Acknowledges the `crashes` frame with that stamp, which is also relayed to the subscribed entries. `granted`: whether the probe may be run. `stream`: the answer to `askStream`. */
  z.object({ type: z.literal('crashes_noted'), stamp: z.number(), granted: z.boolean().optional(), stream: StreamOriginReply.optional() }),
  Appointment,
  /** The adapter that the receiver asked for has been loaded. */
  z.object({ type: z.literal('arrived'), key: AdapterKey, version: z.number() }),
  /** The adapter can't be loaded now. */
  z.object({ type: z.literal('declined'), key: AdapterKey, reason: z.string().max(maxReasonLength) }),
  /**
   * For each adapter that was used: its key, its uses since the previous such frame, and its requests in progress. `unread`: prompt
   * tokens of the sender's requests that the engine has not processed yet. `pace`: what the sender observed since the previous such
   * frame: prefilled prompt tokens, the ms for that, stated output tokens of completed streams, and the ms that these ran.
   */
  z.object({
    type: z.literal('uses'),
    uses: z.array(z.tuple([AdapterKey, Count, Count])).max(maxUsesPerFrame),
    unread: Count.optional(),
    pace: z.tuple([z.number().nonnegative(), z.number().nonnegative(), z.number().nonnegative(), z.number().nonnegative()]).optional()
  }),
  /** The newest store revision known to the sender. Side processes of earlier software versions also take their fencing token from it. */
  z.object({ type: z.literal('fences'), highest: Count }),
  /** `listings`: what the receiver has to know before it may rely on `complete`; see `Listing`. */
  z.object({ type: z.literal('heartbeat'), revision: Revision, load: LoadReport.optional(), complete: CompleteRevisions.optional(), sight: StoreSight.optional(), listings: z.array(Listing).optional() }),
  z.object({ type: z.literal('run'), id: ExchangeId, work: Work }),
  z.object({ type: z.literal('head'), id: ExchangeId, status: z.number().int(), headers: Headers, resident: z.boolean() }),
  z.object({ type: z.literal('chunk'), id: ExchangeId, sequence: z.number().int().nonnegative(), data: Bytes }),
  z.object({ type: z.literal('end'), id: ExchangeId, chunks: z.number().int().nonnegative(), bytes: z.number().int().nonnegative(), load: LoadReport }),
  z.object({ type: z.literal('failure'), id: ExchangeId, failure: Failure, load: LoadReport.optional() }),
  z.object({ type: z.literal('cancel'), id: ExchangeId }),
  z.object({ type: z.literal('credit'), id: ExchangeId, bytes: z.number().int().positive() }),
  /** Asks for the configuration's head and for the listed shards, which the sender lacks. */
  z.object({ type: z.literal('pull'), id: ExchangeId, shards: z.array(z.string().max(100)).max(2000) }),
  z.object({ type: z.literal('push'), id: ExchangeId, head: z.unknown(), shards: z.record(z.string(), z.string()) })
])
export type Frame = z.infer<typeof Frame>
export type FrameType = Frame['type']
export type FrameOf<T extends FrameType> = Extract<Frame, { type: T }>
