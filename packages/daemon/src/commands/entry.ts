/** `finchpitchd entry`: runs an entry instance until it receives SIGTERM or SIGINT. */
import { EntrySettings, entryFlags, noArguments, readSettings } from '../settings.js'
import { startEntry } from '../start-entry.js'
import { DaemonCommand } from './daemon-command.js'

export default class EntryCommand extends DaemonCommand {
  static override summary = 'Run an entry instance: accepts requests from callers and dispatches them to side processes.'
  static override description = `An entry is stateless. Start as many as you like behind the platform's load balancer.
Every setting is a flag or an environment variable, and all errors in them are reported together (exit code 2).
SIGTERM: /readyz fails, new requests are accepted for notice-ms, then those in progress are drained, exit code 0.`

  static override examples = [
    '<%= config.bin %> <%= command.id %> --process entry-1 --domain oslo-1 --platform http://10.0.0.5:8080 --operator-token-hash $HASH'
  ]

  static override flags = entryFlags
  static override args = noArguments

  async run (): Promise<void> {
    const { flags } = await this.parse(EntryCommand)
    const settings = this.settingsOrExit(readSettings(EntrySettings, flags))
    const log = this.logFor('entry', settings.process, settings['log-level'])
    await this.runUntilStopped(() => startEntry(settings, log))
  }
}
