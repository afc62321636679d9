/** The commands of `finchpitch` by name; a colon stands for the space between a topic and its command. */
import Apply from './apply.js'
import Check from './check.js'
import Diff from './diff.js'
import Get from './get.js'
import History from './history.js'
import LogsLevel from './log-level.js'
import Status from './status.js'
import Wait from './wait.js'

export const commands = {
  apply: Apply,
  check: Check,
  diff: Diff,
  get: Get,
  history: History,
  'logs:level': LogsLevel,
  status: Status,
  wait: Wait
}
