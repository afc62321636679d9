/**
 * What both commands of `finchpitchd` share: checked settings, and a planned stop on SIGTERM and SIGINT.
 */
import { Command } from '@oclif/core'
import { BoundedLines, Log, printFindings, type Finding, type LogLevel, type ProcessId } from '@finchpitch/core'
import type { Result } from 'neverthrow'
import { invalidSettingsExit } from '../settings.js'

/** A running process as its command sees it. */
export interface Running {
  /** Said in a line of standard output once everything listens: a launcher learns the ports from it. */
  listening: Record<string, string>
  /** Ends whole what is in progress, then everything. */
  stop: () => Promise<void>
}

const standardOutput = 1

export abstract class DaemonCommand extends Command {
  readonly #lines = new BoundedLines(standardOutput)

  protected settingsOrExit<S> (settings: Result<S, Finding[]>): S {
    if (settings.isOk()) return settings.value
    process.stderr.write(`${printFindings(settings.error)}\n`)
    this.exit(invalidSettingsExit)
  }

  protected logFor (role: string, name: ProcessId, level: LogLevel): Log {
    return new Log(role, { role, process: name }, level, this.#lines)
  }

  protected async runUntilStopped (start: () => Promise<Running>): Promise<void> {
    const asked = new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    const running = await start()
    process.stdout.write(`${JSON.stringify({ event: 'listening', ...running.listening })}\n`)
    await asked
    await running.stop()
    await this.#lines.end()
    this.exit(0)
  }
}
