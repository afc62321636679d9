/** `finchpitch check`: validates declarations without contacting an entry. */
import { Args, Command } from '@oclif/core'
import { printFindings } from '@finchpitch/core'
import { readDeclarations } from '../declarations.js'
import { exitCodes } from '../operator-command.js'

export default class Check extends Command {
  static override summary = 'Check a folder of declarations and report every finding.'
  static override enableJsonFlag = true
  static override args = { folder: Args.string({ description: 'folder of YAML files', required: true }) }
  static override examples = ['<%= config.bin %> check ./declarations']

  async run (): Promise<Record<string, number>> {
    const { args } = await this.parse(Check)
    const declared = await readDeclarations(args.folder)
    if (declared.isErr()) {
      this.logToStderr(printFindings(declared.error))
      return this.exit(exitCodes.invalid)
    }
    const { teams, models, services, adapters } = declared.value
    const counts = { teams: teams.length, models: models.length, services: services.length, adapters: adapters.length }
    this.log(Object.entries(counts).map(([kind, count]) => `${count} ${kind}`).join(', '))
    return counts
  }
}
