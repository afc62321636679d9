/**
 * The commands by which the platform runs each role, as `deploy/system.toml` states them.
 */
import { readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

export type Role = 'entry' | 'side'

/** The root of the repository. */
export const repositoryFolder = fileURLToPath(new URL('../../../..', import.meta.url))

export interface PlatformCommand {
  /** Flags of the runtime. */
  flags: string[]
  /** The script that `npm run bundle` builds. */
  script: string
}

/** The command of a role in the repository at `folder`, whose program has been built. */
export const platformCommand = (role: Role, folder = repositoryFolder): PlatformCommand => {
  const path = join(folder, 'deploy/system.toml')
  const [, flags, script] = new RegExp(`^run = "node (.*) (\\S+) ${role}"$`, 'm').exec(readFileSync(path, 'utf8')) ?? []
  if (flags === undefined || script === undefined) throw new Error(`${path} has no command for the role ${role}`)
  return { flags: flags.split(/ +/), script: resolve(folder, script) }
}
