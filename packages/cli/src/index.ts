/** The operators' command line: declarations and their difference, for tests and other tools. */
export * from './declarations.js'
export * from './difference.js'
export * from './operator-command.js'
export { commands } from './commands/index.js'
