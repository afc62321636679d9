/** `finchpitch wait`: waits until a revision is in force at the entry and the processes that it is connected to. */
import { Args, Flags } from '@oclif/core'
import { pause } from '@finchpitch/core'
import type { StatusReply } from '@finchpitch/operators'
import { OperatorCommand, exitCodes } from '../operator-command.js'

const askMs = 250

const behind = ({ revision, processes }: StatusReply, wanted: number): string[] => [
  ...revision < wanted ? ['this entry'] : [],
  ...processes.filter(each => each.revision !== undefined && each.revision < wanted).map(each => each.process)
]

export default class Wait extends OperatorCommand {
  static override summary = 'Wait until a revision is in force.'
  static override args = { revision: Args.integer({ description: 'the revision', required: true, min: 1 }) }
  static override flags = { seconds: Flags.integer({ description: 'how long to wait', default: 30, min: 1 }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Wait)
    const client = this.client(flags)
    const deadline = Date.now() + flags.seconds * 1000
    while (true) {
      const status = this.valueOrExit(await client.status())
      const late = behind(status, args.revision)
      if (late.length === 0) {
        this.log(`revision ${args.revision} is in force`)
        return { revision: args.revision, behind: [] }
      }
      if (Date.now() > deadline) {
        this.logToStderr(`still behind: ${late.join(', ')}`)
        this.exit(exitCodes.failed)
      }
      await pause(askMs)
    }
  }
}
