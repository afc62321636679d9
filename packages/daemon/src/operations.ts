/**
 * Implements the operators' API at an entry: apply and read the configuration, and read the status of all processes.
 */
import { validateConfiguration, servingName, type ProcessId, type Random } from '@finchpitch/core'
import { applyConfiguration, describeStoreError, type ApplyOutcome, type Catalog, type ObjectStore, type StoreError } from '@finchpitch/store'
import type { ApplyBody, ApplyReply, OperatorHandlers, ProcessStatus, StatusReply } from '@finchpitch/operators'
import type { Entry } from './entry/entry.js'

export interface EntryOperationsOptions {
  process: ProcessId
  entry: Entry
  catalog: Catalog
  store: ObjectStore
  random: Random
}

const toReply = (outcome: ApplyOutcome): ApplyReply => outcome.kind === 'conflict'
  ? { kind: 'conflict', revision: outcome.head.revision, changes: outcome.head.recent }
  : { kind: outcome.kind, revision: outcome.head.revision }

const toErrorReply = (error: StoreError): ApplyReply =>
  ({ kind: error.code === 'ambiguous' ? 'unsettled' : 'unavailable', detail: describeStoreError(error) })

export class EntryOperations implements OperatorHandlers {
  constructor (private readonly options: EntryOperationsOptions) {}

  async apply (body: ApplyBody): Promise<ApplyReply> {
    const { store, random, entry } = this.options
    const configuration = validateConfiguration(body.configuration)
    if (configuration.isErr()) return { kind: 'invalid', findings: configuration.error }
    const outcome = await applyConfiguration(store, { ...body, configuration: configuration.value }, random)
    if (outcome.isErr()) return toErrorReply(outcome.error)
    await entry.catchUp()
    return toReply(outcome.value)
  }

  configuration (): ReturnType<OperatorHandlers['configuration']> {
    const { catalog } = this.options
    return { revision: catalog.revision, configuration: catalog.whole() }
  }

  history (): ReturnType<OperatorHandlers['history']> {
    return { changes: this.options.catalog.head?.recent ?? [] }
  }

  status (): StatusReply {
    const { process, catalog, entry } = this.options
    const processes = entry.instances.map(({ process: name, role, domain, leaving, serving }): ProcessStatus => {
      const reported = name === process ? { revision: catalog.revision } : entry.sides.statusOf(name)
      return { process: name, role, domain, leaving, ...(serving === undefined ? {} : { serving: servingName(serving) }), ...reported }
    })
    return { revision: catalog.revision, processes }
  }
}
