/** `finchpitch status`: lists the processes with the configuration revision and the load of each. */
import type { ProcessStatus } from '@finchpitch/operators'
import { OperatorCommand } from '../operator-command.js'

const describeState = ({ leaving, revision: processRevision }: ProcessStatus, revision: number): string => {
  if (leaving) return 'leaving'
  if (processRevision === undefined) return 'not connected to this entry'
  return processRevision < revision ? `behind by ${revision - processRevision}` : 'up to date'
}

export default class Status extends OperatorCommand {
  static override summary = 'Show the processes and the revision in force at each.'

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Status)
    const reply = this.valueOrExit(await this.createClient(flags).status())
    this.log(`revision ${reply.revision}`)
    for (const each of reply.processes) {
      const load = each.running === undefined ? '' : `${each.running} running, ${each.waiting ?? 0} waiting`
      this.log([each.process.padEnd(20), each.role.padEnd(6), each.domain.padEnd(12), (each.serving ?? '').padEnd(24), describeState(each, reply.revision).padEnd(30), load].join(''))
    }
    return reply
  }
}
