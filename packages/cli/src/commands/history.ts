/** `finchpitch history`: lists the most recent changes, newest first. */
import { OperatorCommand } from '../operator-command.js'

export default class History extends OperatorCommand {
  static override summary = 'Show the last changes.'

  async run (): Promise<unknown> {
    const { flags } = await this.parse(History)
    const reply = this.valueOrExit(await this.createClient(flags).history())
    for (const { revision, at, actor, note, applyId } of reply.changes) {
      this.log(`${String(revision).padStart(6)}  ${new Date(at).toISOString()}  ${actor.padEnd(16)}  ${applyId}  ${note}`)
    }
    return reply
  }
}
