/**
 * Base class of both `finchpitchd` commands: validates settings, sets up the log and shuts down gracefully on SIGTERM and SIGINT.
 */
import { Command } from '@oclif/core'
import { BufferedLineSink, Log, onAbort, printFindings, type Finding, type LogLevel, type ProcessId } from '@finchpitch/core'
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

  /** `start` resolves to `undefined` if its signal, which aborts when the process is asked to stop, aborted before the process could start. */
  protected async runUntilStopped (start: (stopRequested: AbortSignal) => Promise<RunningProcess | undefined>): Promise<void> {
    const stop = new AbortController()
    const stopRequested = new Promise<void>(resolve => { onAbort(stop.signal, resolve) })
    // Not `once`: the runtime ends the process at a further signal that nothing handles.
    process.on('SIGTERM', () => stop.abort())
    process.on('SIGINT', () => stop.abort())
    const running = await start(stop.signal)
    if (running !== undefined) {
      this.#logLines.write(JSON.stringify({ event: 'listening', ...running.listening }))
      this.#logLines.flush()
      await stopRequested
      await running.stop()
    }
    await this.#logLines.end()
    this.exit(0)
  }
}
