/** `finchpitchd entry`: runs an entry instance until it is told to stop. */
import { EntrySettings, entryFlags, noArguments, readSettings } from '../settings.js'
import { startEntry } from '../start-entry.js'
import { DaemonCommand } from './daemon-command.js'

export default class EntryCommand extends DaemonCommand {
  static override summary = 'Run an entry instance: takes requests from callers and has them run.'
  static override description = `An entry keeps nothing. Start as many as you like behind the platform's balancer.
Every setting is a flag or an environment variable, and all faults in them are reported together (exit code 2).
SIGTERM: /readyz says no, requests go on for notice-ms, then those in progress end whole, exit code 0.`

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
