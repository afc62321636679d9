/**
 * Judges the ends of processes that the soak did not kill.
 */
import type { FleetSystem, ProcessExit } from '@finchpitch/stand-ins'

/**
 * Whether a signal of the soak ended the process before its runtime had run the first line of the program. Nothing handles a signal
 * until then, and the platform starts the process again.
 */
const isEndedEarly = ({ started, signal, earlySignals }: ProcessExit): boolean => !started && signal !== null && earlySignals.includes(signal)

/** Returns a violation for each process that ended by itself or not in order, and the number of those that a signal ended early. */
export const exitViolations = (fleet: Pick<FleetSystem, 'unexpectedExits' | 'stops'>, log: (line: string) => void): { endedEarly: number, violations: string[] } => {
  const exits = fleet.unexpectedExits.splice(0)
  for (const exit of exits) log(`a process ended: ${JSON.stringify(exit)}`)
  const ended = exits.filter(exit => !isEndedEarly(exit)).map(exit => `a process ended by itself: ${JSON.stringify(exit)}`)
  const stopped = fleet.stops.filter(exit => exit.code !== 0 && !isEndedEarly(exit)).map(exit => `a process did not stop in order: ${JSON.stringify(exit)}`)
  return { endedEarly: exits.filter(isEndedEarly).length, violations: [...ended, ...stopped] }
}
