/**
 * `finchpitch apply`: applies a folder's declarations to the configuration in force. The request carries the revision that the
 * difference was computed against, so that a concurrent change ends in a conflict and is not overwritten.
 */
import { userInfo } from 'node:os'
import { Args, Flags } from '@oclif/core'
import type { ApplyReply } from '@finchpitch/operators'
import { diffConfigurations, formatChanges, mergeDeclared } from '../configuration-diff.js'
import { OperatorCommand, exitCodes } from '../operator-command.js'

const exitCodeByReply: Record<ApplyReply['kind'], number> = {
  applied: 0,
  unchanged: 0,
  conflict: exitCodes.conflict,
  invalid: exitCodes.invalid,
  unsettled: exitCodes.indeterminate,
  unavailable: exitCodes.failed
}

const describe = (reply: ApplyReply): string => {
  if (reply.kind === 'applied') return `applied as revision ${reply.revision}`
  if (reply.kind === 'unchanged') return `unchanged: revision ${reply.revision} is what is declared`
  if (reply.kind === 'invalid') return reply.findings.map(({ path, message }) => `${path}: ${message}`).join('\n')
  if (reply.kind !== 'conflict') return reply.detail
  const changes = reply.changes.map(({ revision, actor, note, at }) => `  ${revision}  ${new Date(at).toISOString()}  ${actor}  ${note}`)
  return ['nothing was applied: the configuration has changed meanwhile', ...changes].join('\n')
}

export default class Apply extends OperatorCommand {
  static override summary = 'Apply a folder of declarations.'
  static override description = `Exit codes: 0 applied or unchanged, 1 not applied, 2 invalid, 3 somebody else's change came first,
4 not settled (see the history before applying again).`

  static override args = { folder: Args.string({ description: 'folder of YAML files', required: true }) }
  static override flags = {
    prune: Flags.boolean({ description: 'also remove what is not declared' }),
    'dry-run': Flags.boolean({ description: 'show the difference and apply nothing' }),
    note: Flags.string({ description: 'why, for the history', default: '' }),
    actor: Flags.string({ description: 'who, for the history', default: async () => userInfo().username })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Apply)
    const declared = await this.declarationsOrExit(args.folder)
    const client = this.createClient(flags)
    const { revision, configuration } = await this.currentConfiguration(client)
    const target = flags.prune ? declared : mergeDeclared(configuration, declared)
    const differences = diffConfigurations(configuration, target)
    this.log(formatChanges(differences))
    if (flags['dry-run']) return { differences }
    const reply = this.valueOrExit(await client.apply({ configuration: target, base: revision, actor: flags.actor, note: flags.note }))
    this.log(describe(reply))
    if (exitCodeByReply[reply.kind] !== 0) this.exit(exitCodeByReply[reply.kind])
    return { differences, reply }
  }
}
