/**
 * The base of the commands that call an entry: its address and token, the printing of findings, and exit codes.
 */
import { Command, Flags } from '@oclif/core'
import { printFindings, type Configuration, type Finding } from '@finchpitch/core'
import { OperatorClient, type OperatorClientError, type ConfigurationReply } from '@finchpitch/operators'
import type { Result } from 'neverthrow'
import { readDeclarations } from './declarations.js'

export const exitCodes = {
  /** The operation was refused or did not succeed. */
  failed: 1,
  /** The declarations or the arguments are not valid. */
  invalid: 2,
  /** The configuration was changed by somebody else in the meantime. */
  conflict: 3,
  /** The entry could not be reached, or it is unknown whether the change was accepted. */
  indeterminate: 4
} as const

export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true

  static override baseFlags = {
    entry: Flags.string({ description: 'an entry\'s operator listener, as http://host:port', env: 'FINCHPITCH_ENTRY', required: true }),
    token: Flags.string({ description: 'the operators\' bearer token', env: 'FINCHPITCH_TOKEN', required: true })
  }

  protected createClient ({ entry, token }: { entry: string, token: string }): OperatorClient {
    return new OperatorClient({ origin: entry.replace(/\/$/, ''), token })
  }

  protected valueOrExit<T> (result: Result<T, OperatorClientError>): T {
    if (result.isOk()) return result.value
    this.logToStderr(result.error.message)
    return this.exit(result.error.code === 'refused' ? exitCodes.failed : exitCodes.indeterminate)
  }

  protected async declarationsOrExit (folder: string): Promise<Configuration> {
    const declared = await readDeclarations(folder)
    return declared.isOk() ? declared.value : this.exitWithFindings(declared.error)
  }

  protected exitWithFindings (findings: Finding[]): never {
    this.logToStderr(printFindings(findings))
    this.logToStderr(`${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}`)
    return this.exit(exitCodes.invalid)
  }

  protected async currentConfiguration (client: OperatorClient): Promise<ConfigurationReply> {
    return this.valueOrExit(await client.configuration())
  }
}
