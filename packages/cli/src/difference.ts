/**
 * The difference between two configurations, by name.
 */
import { adapterId, type Configuration } from '@finchpitch/core'

type Kind = keyof Configuration
type Element = Configuration[Kind][number]

export interface Difference {
  kind: Kind
  name: string
  change: 'added' | 'changed' | 'removed'
}

const nameOf = (element: Element): string => 'team' in element ? adapterId(element) : element.name

const byName = (elements: readonly Element[]): Map<string, Element> =>
  new Map(elements.map(element => [nameOf(element), element]))

const kinds: Kind[] = ['teams', 'models', 'services', 'adapters']

export const difference = (from: Configuration, to: Configuration): Difference[] => kinds.flatMap(kind => {
  const before = byName(from[kind])
  const after = byName(to[kind])
  const gone = [...before.keys()].filter(name => !after.has(name))
  const present = [...after].flatMap(([name, element]): Difference[] => {
    const old = before.get(name)
    if (old === undefined) return [{ kind, name, change: 'added' }]
    return JSON.stringify(old) === JSON.stringify(element) ? [] : [{ kind, name, change: 'changed' }]
  })
  return [...present, ...gone.map((name): Difference => ({ kind, name, change: 'removed' }))]
})

const overlay = <E extends Element>(base: readonly E[], top: readonly E[]): E[] => {
  const declared = new Set(top.map(nameOf))
  return [...base.filter(element => !declared.has(nameOf(element))), ...top]
}

/** What is declared, on top of what is in force: nothing is removed. */
export const withoutPruning = (inForce: Configuration, declared: Configuration): Configuration => ({
  teams: overlay(inForce.teams, declared.teams),
  models: overlay(inForce.models, declared.models),
  services: overlay(inForce.services, declared.services),
  adapters: overlay(inForce.adapters, declared.adapters)
})

const signs = { added: '+', changed: '~', removed: '-' } as const

export const printDifference = (differences: Difference[]): string =>
  differences.map(({ kind, name, change }) => `${signs[change]} ${kind} ${name}`).join('\n')
