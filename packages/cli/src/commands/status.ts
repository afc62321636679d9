/** `finchpitch status`: each process, its revision, and how much it has to do. */
import type { ProcessStatus } from '@finchpitch/operators'
import { OperatorCommand } from '../operator-command.js'

const stateOf = ({ leaving, revision: held }: ProcessStatus, revision: number): string => {
  if (leaving) return 'leaving'
  if (held === undefined) return 'not connected to this entry'
  return held < revision ? `behind by ${revision - held}` : 'up to date'
}

export default class Status extends OperatorCommand {
  static override summary = 'Show the processes and the revision in force at each.'

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Status)
    const reply = this.valueOrExit(await this.client(flags).status())
    this.log(`revision ${reply.revision}`)
    for (const each of reply.processes) {
      const load = each.running === undefined ? '' : `${each.running} running, ${each.waiting ?? 0} waiting`
      this.log([each.process.padEnd(20), each.role.padEnd(6), each.domain.padEnd(12), (each.serving ?? '').padEnd(24), stateOf(each, reply.revision).padEnd(30), load].join(''))
    }
    return reply
  }
}
