/** `finchpitch get`: prints the configuration in force as YAML that `finchpitch apply` accepts. */
import { stringify } from 'yaml'
import { OperatorCommand } from '../operator-command.js'

export default class Get extends OperatorCommand {
  static override summary = 'Print the configuration in force.'

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Get)
    const reply = await this.currentConfiguration(this.createClient(flags))
    this.log(`# revision ${reply.revision}\n${stringify(reply.configuration)}`)
    return reply
  }
}
