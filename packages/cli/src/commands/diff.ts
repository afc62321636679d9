/** `finchpitch diff`: shows what applying a folder would change. */
import { Args, Flags } from '@oclif/core'
import { diffConfigurations, formatChanges, mergeDeclared, type ConfigurationChange } from '../configuration-diff.js'
import { OperatorCommand } from '../operator-command.js'

export default class Diff extends OperatorCommand {
  static override summary = 'Show what applying a folder would change.'
  static override args = { folder: Args.string({ description: 'folder of YAML files', required: true }) }
  static override flags = { prune: Flags.boolean({ description: 'also remove what is not declared' }) }

  async run (): Promise<ConfigurationChange[]> {
    const { args, flags } = await this.parse(Diff)
    const declared = await this.declarationsOrExit(args.folder)
    const { configuration } = await this.currentConfiguration(this.createClient(flags))
    const differences = diffConfigurations(configuration, flags.prune ? declared : mergeDeclared(configuration, declared))
    this.log(differences.length === 0 ? 'no difference' : formatChanges(differences))
    return differences
  }
}
