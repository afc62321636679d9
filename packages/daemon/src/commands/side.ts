/** `finchpitchd side`: runs a side process until it receives SIGTERM or SIGINT. */
import { SideSettings, noArguments, readSettings, sideFlags } from '../settings.js'
import { startSide } from '../start-side.js'
import { DaemonCommand } from './daemon-command.js'

export default class SideCommand extends DaemonCommand {
  static override summary = 'Run a side process, the sidecar through which all requests reach a backend server.'
  static override description = `Give --model for a model engine or --service for a plain service.
Every setting is a flag or an environment variable, and all errors in them are reported together (exit code 2).
SIGTERM: new requests are refused at once as not run, those in progress are drained, exit code 0.`

  static override examples = [
    '<%= config.bin %> <%= command.id %> --process side-1 --domain oslo-1 --platform http://10.0.0.5:8080 --operator-token-hash $HASH --backend http://127.0.0.1:9000 --model nb-7b',
    '<%= config.bin %> <%= command.id %> --process side-9 --domain oslo-1 --platform http://10.0.0.5:8080 --operator-token-hash $HASH --backend http://127.0.0.1:9001 --service booking-ledger'
  ]

  static override flags = sideFlags
  static override args = noArguments

  async run (): Promise<void> {
    const { flags } = await this.parse(SideCommand)
    const settings = this.settingsOrExit(readSettings(SideSettings, flags))
    const log = this.logFor('side', settings.process, settings['log-level'])
    await this.runUntilStopped(stopRequested => startSide(settings, log, stopRequested))
  }
}
