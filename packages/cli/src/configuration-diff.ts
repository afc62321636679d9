/**
 * The difference between two configurations: elements added, changed and removed, matched by name.
 */
import { adapterId, type Configuration } from '@finchpitch/core'

type Kind = keyof Configuration
type Element = Configuration[Kind][number]

export interface ConfigurationChange {
  kind: Kind
  name: string
  change: 'added' | 'changed' | 'removed'
}

const nameOf = (element: Element): string => 'team' in element ? adapterId(element) : element.name

const elementsByName = (elements: readonly Element[]): Map<string, Element> =>
  new Map(elements.map(element => [nameOf(element), element]))

const kinds: Kind[] = ['teams', 'models', 'services', 'adapters']

export const diffConfigurations = (from: Configuration, to: Configuration): ConfigurationChange[] => kinds.flatMap(kind => {
  const before = elementsByName(from[kind])
  const after = elementsByName(to[kind])
  const removedNames = [...before.keys()].filter(name => !after.has(name))
  const current = [...after].flatMap(([name, element]): ConfigurationChange[] => {
    const previous = before.get(name)
    if (previous === undefined) return [{ kind, name, change: 'added' }]
    return JSON.stringify(previous) === JSON.stringify(element) ? [] : [{ kind, name, change: 'changed' }]
  })
  return [...current, ...removedNames.map((name): ConfigurationChange => ({ kind, name, change: 'removed' }))]
})

const overlay = <E extends Element>(base: readonly E[], top: readonly E[]): E[] => {
  const topNames = new Set(top.map(nameOf))
  return [...base.filter(element => !topNames.has(nameOf(element))), ...top]
}

/** The configuration in force with each declared element added, or replacing the one of its name. Nothing is removed. */
export const mergeDeclared = (current: Configuration, declared: Configuration): Configuration => ({
  teams: overlay(current.teams, declared.teams),
  models: overlay(current.models, declared.models),
  services: overlay(current.services, declared.services),
  adapters: overlay(current.adapters, declared.adapters)
})

const changeSymbols = { added: '+', changed: '~', removed: '-' } as const

export const formatChanges = (changes: ConfigurationChange[]): string =>
  changes.map(({ kind, name, change }) => `${changeSymbols[change]} ${kind} ${name}`).join('\n')
