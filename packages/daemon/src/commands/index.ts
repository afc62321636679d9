/** The commands of `finchpitchd` by name. */
import EntryCommand from './entry.js'
import SideCommand from './side.js'

export const commands = { entry: EntryCommand, side: SideCommand }
