/**
 * Branded types for names and ids.
 *
 * A name from outside is parsed once by its schema. From then on its type carries a brand, so that a team's name can't be
 * passed where an adapter's name is expected.
 */
import { randomBytes } from 'node:crypto'
import * as z from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected 1 to 63 of a-z, 0-9, dot and dash')

export const TeamName = name.brand<'TeamName'>()
export type TeamName = z.infer<typeof TeamName>

export const AdapterName = name.brand<'AdapterName'>()
export type AdapterName = z.infer<typeof AdapterName>

export const AdapterVersion = name.brand<'AdapterVersion'>()
export type AdapterVersion = z.infer<typeof AdapterVersion>

export const AliasName = name.brand<'AliasName'>()
export type AliasName = z.infer<typeof AliasName>

export const ModelName = name.brand<'ModelName'>()
export type ModelName = z.infer<typeof ModelName>

export const ServiceName = name.brand<'ServiceName'>()
export type ServiceName = z.infer<typeof ServiceName>

/** A name that whoever runs the instances has given, such as a host name. */
const givenName = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,252}$/i, 'expected 1 to 253 of a-z, A-Z, 0-9, dot, dash and underscore')

export const FailureDomain = givenName.brand<'FailureDomain'>()
export type FailureDomain = z.infer<typeof FailureDomain>

/** The name of a process, which stays the same across restarts. */
export const ProcessId = givenName.brand<'ProcessId'>()
export type ProcessId = z.infer<typeof ProcessId>

/** Identifies one run of a process; each restart makes a new one. */
export const Incarnation = z.string().regex(/^[A-Za-z0-9_-]{16}$/).brand<'Incarnation'>()
export type Incarnation = z.infer<typeof Incarnation>

/** The caller's idempotency key: the same for all attempts of one request, and unique within the team. */
export const RequestKey = z.string().regex(/^[\x21-\x7e]{1,200}$/, 'expected 1 to 200 visible ASCII characters').brand<'RequestKey'>()
export type RequestKey = z.infer<typeof RequestKey>

/** Identifies one attempt of a request in logs and responses. */
export const RequestId = z.string().min(1).max(64).brand<'RequestId'>()
export type RequestId = z.infer<typeof RequestId>

/**
 * Identifies work by which servers may crash: a whole request, or a part that prompts share. Equal for all requests with that work:
 * a truncated hash, from which nothing of the request can be recovered.
 */
export const Fingerprint = z.string().regex(/^[A-Za-z0-9_-]{16}$/).brand<'Fingerprint'>()
export type Fingerprint = z.infer<typeof Fingerprint>

/** The first character of the fingerprints of parts of prompts; those of requests begin with another one. */
export const partFingerprintPrefix = '_'

/** Number of the accepted configuration, counted from 1; 0 if none has been received yet. */
export const Revision = z.number().int().nonnegative().brand<'Revision'>()
export type Revision = z.infer<typeof Revision>

export const noRevision = Revision.parse(0)

/** `host:port` of a process's TCP listener. */
export const Address = z.string().regex(/^[0-9a-f.:[\]]+:\d{1,5}$/i, 'expected an IP address and a port').brand<'Address'>()
export type Address = z.infer<typeof Address>

const tokenBytes = 12

/** 96 random bits as 16 characters that are valid in headers and object names. */
export const randomToken = (): string => randomBytes(tokenBytes).toString('base64url')

export const newIncarnation = (): Incarnation => Incarnation.parse(randomToken())

export const newRequestId = (): RequestId => RequestId.parse(randomToken())
