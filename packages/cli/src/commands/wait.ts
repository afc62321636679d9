/**
 * `finchpitch wait`: polls until the entry and all processes that it is connected to have at least a given revision. Processes
 * without a connection to the entry are not waited for.
 */
import { Args, Flags } from '@oclif/core'
import { pause } from '@finchpitch/core'
import type { StatusReply } from '@finchpitch/operators'
import { OperatorCommand, exitCodes } from '../operator-command.js'

const pollIntervalMs = 250

const outdatedProcesses = ({ revision, processes }: StatusReply, target: number): string[] => [
  ...revision < target ? ['this entry'] : [],
  ...processes.filter(each => each.revision !== undefined && each.revision < target).map(each => each.process)
]

export default class Wait extends OperatorCommand {
  static override summary = 'Wait until a revision is in force.'
  static override args = { revision: Args.integer({ description: 'the revision', required: true, min: 1 }) }
  static override flags = { seconds: Flags.integer({ description: 'how long to wait', default: 30, min: 1 }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Wait)
    const client = this.createClient(flags)
    const deadline = Date.now() + flags.seconds * 1000
    while (true) {
      const status = this.valueOrExit(await client.status())
      const outdated = outdatedProcesses(status, args.revision)
      if (outdated.length === 0) {
        this.log(`revision ${args.revision} is in force`)
        return { revision: args.revision, behind: [] }
      }
      if (Date.now() > deadline) {
        this.logToStderr(`still behind: ${outdated.join(', ')}`)
        this.exit(exitCodes.failed)
      }
      await pause(pollIntervalMs)
    }
  }
}
