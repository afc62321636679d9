/** The operators' command line: its commands, and the reading and comparing of declarations for tests and other tools. */
export * from './declarations.js'
export * from './configuration-diff.js'
export * from './operator-command.js'
export { commands } from './commands/index.js'
