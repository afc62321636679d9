/**
 * What this package needs from the platform it runs on. An adapter implements these; nothing here knows its names.
 */
import type { QuotaBound } from '@finchpitch/decisions'
import type { Result } from 'neverthrow'
import type { Fact } from './fact.js'
import type { HeldModel, ModelRef } from './server.js'

/** Why a call to the platform's store brought nothing. */
export interface StoreFailure {
  /**
   * `compacted`: the history asked for is gone, so everything has to be read again; `restored`: the store was restored from a
   * backup, so everything has to be read again.
   */
  code: 'unreachable' | 'turned_away' | 'compacted' | 'restored' | 'not_valid'
  detail: string
}

export interface FactPage {
  facts: Fact[]
  /** The store's revision that the page is complete up to, including the era (see `store-revision.ts`). */
  revision: number
  /** Objects that could not be read. */
  unread?: number
}

/** One kind of fact in the store. */
export interface FactSource {
  kind: Fact['kind']
  /** Everything there is. */
  list: () => Promise<Result<FactPage, StoreFailure>>
  /** What changed after `revision`; waits up to `waitMs` for something to. */
  changes: (revision: number, waitMs: number, signal: AbortSignal) => Promise<Result<FactPage, StoreFailure>>
}

/** An engine's own account of itself. */
export interface EngineAccount {
  /** The engine's id, where its answer says it. */
  server?: string
  /** Unix ms of its start. */
  bornAt?: number | undefined
  /** It says that it leaves. */
  leaving?: boolean
  models: HeldModel[]
  /** Adapters on their way in: key to version. */
  coming: Array<{ key: string, version: number }>
  /** A model is being loaded or unloaded. */
  busy: boolean
  /** Orders taken; an order names the count that it was decided at. */
  orders: number
  waiting: number
  running: number
  cacheUsed: number
  cacheTotal: number
}

export interface EngineOrder extends ModelRef {
  operation: 'load' | 'unload'
  version?: number
  /** `EngineAccount.orders` at the decision; the engine refuses the order once others came between. */
  expectedOrders: number
}

/** `unknown`: no answer came, and the order may still be carried out. */
export type OrderOutcome = 'done' | 'accepted' | 'refused' | 'fenced' | 'moved' | 'unknown'

export interface OrderAnswer {
  outcome: OrderOutcome
  detail: string
  /** Where the order met another engine than the one it names: the id of that one. */
  server?: string
}

export interface EngineOrders {
  account: () => Promise<Result<EngineAccount, string>>
  /** `instance` is the engine's incarnation that the order is meant for. */
  order: (order: EngineOrder, fence: number, instance: string | undefined) => Promise<OrderAnswer>
}

/** Names of the headers that requests and answers carry. All lower case. */
export interface HeaderNames {
  requestId: string
  /** Milliseconds that the caller, and so the backend server, has left. */
  remainingMs: string
  /** `model` or `model/adapter`. */
  model: string
  /** Size of the prompt and most tokens out, as `in,out`. */
  tokens: string
  lastEventId: string
  retryAfter: string
  /** On answers: the backend server's proof that the answer is its own. */
  seal: string
  /** On answers: the request was surely not run. */
  notRun: string
  expectedServer: string
  /** On refusals: the id of the server that refused. */
  serverId: string
  /** On all answers of a server that leaves. */
  leaving: string
  /** On answers of a server in need: the requests a second that it takes from all entries together, a decimal number. */
  limit: string
  expectedVersion: string
  priority: string
  /** A caller's key, as `SCHEME KEY`; never passed on where the table knows teams. */
  key: string
  /** In lower case. */
  keyScheme: string
  /** Towards servers: the team that the request belongs to. */
  team: string
  /** Headers that only the system may set, taken off what callers send. */
  reserved: ReadonlySet<string>
}

/** The bound that holds for every quota. */
export const quotaBoundOf = ({ quotaWindowMs, quotaOverage, quotaSlack }: Limits): QuotaBound =>
  ({ windowMs: quotaWindowMs, overage: quotaOverage, slack: quotaSlack })

export interface Limits {
  /** Time from a planned stop's signal to the kill. */
  graceMs: number
  /** Time after a server's leaving was told in which work may still be sent to it. */
  drainMs: number
  /** Time after which a changed configuration has to be in force; absent where that isn't asked for. */
  applyMs?: number
  /** Time after a version was named in which the one before it may still be used. */
  versionMs: number
  /** Time after which a key that was taken away no longer works anywhere; absent where that isn't asked for. */
  revokeMs?: number
  retryRatio: number
  retryWindowMs: number
  retrySlack: number
  /** Window of the weight store's rate. */
  loadWindowMs: number
  loadOverage: number
  /** Of quotas: in any window a team may use (rate x window + burst) x (1 + overage) + slack, over all entries together. */
  quotaWindowMs: number
  quotaOverage: number
  /** In tokens. */
  quotaSlack: number
}
