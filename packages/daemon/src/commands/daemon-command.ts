/**
 * Base class of both `finchpitchd` commands: validates settings, sets up the log and shuts down gracefully on SIGTERM and SIGINT.
 */
import { Command } from '@oclif/core'
import { BufferedLineSink, Log, printFindings, type Finding, type LogLevel, type ProcessId } from '@finchpitch/core'
import type { Result } from 'neverthrow'
import { invalidSettingsExitCode } from '../settings.js'

/** A started process, as its command controls it. */
export interface RunningProcess {
  /** Addresses, printed as one line on standard output once all listeners are up, so that a launcher learns the ports. */
  listening: Record<string, string>
  /** Drains the requests in progress, then stops everything. */
  stop: () => Promise<void>
}

const stdoutFd = 1

export abstract class DaemonCommand extends Command {
  readonly #logLines = new BufferedLineSink(stdoutFd)

  protected settingsOrExit<S> (settings: Result<S, Finding[]>): S {
    if (settings.isOk()) return settings.value
    process.stderr.write(`${printFindings(settings.error)}\n`)
    this.exit(invalidSettingsExitCode)
  }

  protected logFor (role: string, name: ProcessId, level: LogLevel): Log {
    return new Log(role, { role, process: name }, level, this.#logLines)
  }

  protected async runUntilStopped (start: () => Promise<RunningProcess>): Promise<void> {
    const stopRequested = new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    const running = await start()
    process.stdout.write(`${JSON.stringify({ event: 'listening', ...running.listening })}\n`)
    await stopRequested
    await running.stop()
    await this.#logLines.end()
    this.exit(0)
  }
}
