/** `finchpitch logs level`: changes the log level of a running process. */
import { Args } from '@oclif/core'
import { LogLevelBody } from '@finchpitch/operators'
import { OperatorCommand } from '../operator-command.js'

export default class LogsLevel extends OperatorCommand {
  static override summary = 'Set the log level of the process behind --entry; a side process takes it too.'
  static override args = { level: Args.string({ options: [...LogLevelBody.shape.level.options], required: true, description: 'the level' }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(LogsLevel)
    const reply = this.valueOrExit(await this.createClient(flags).setLogLevel(LogLevelBody.parse(args)))
    this.log(`log level ${reply.level}`)
    return reply
  }
}
