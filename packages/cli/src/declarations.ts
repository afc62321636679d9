/**
 * Declarations: a folder of YAML files, kept in version control, that together are one configuration.
 *
 * Every file holds any of the lists `teams`, `models`, `services` and `adapters`. They are checked as a whole, and
 * every finding names its file and line.
 */
import { readFile, readdir } from 'node:fs/promises'
import { join, relative } from 'node:path'
import { Configuration, check, finding, type Finding } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { LineCounter, isNode, parseDocument, type Document } from 'yaml'

type Kind = keyof Configuration
const kinds = Object.keys(Configuration.shape) as Kind[]

interface Source {
  file: string
  document: Document
  lines: LineCounter
}

/** Where each element of a merged list came from. */
interface Origin {
  source: Source
  index: number
}

interface Merged {
  document: Record<string, unknown[]>
  origins: Map<Kind, Origin[]>
  findings: Finding[]
}

const yamlFiles = async (folder: string): Promise<string[]> => {
  const entries = await readdir(folder, { withFileTypes: true, recursive: true })
  return entries
    .filter(entry => entry.isFile() && /\.ya?ml$/.test(entry.name))
    .map(entry => join(entry.parentPath, entry.name))
    .sort()
}

const place = ({ file, lines }: Source, offset: number): string => `${file}:${lines.linePos(offset).line}`

const lineOf = (source: Source, path: Array<string | number>): string => {
  // A missing field has no place of its own: its nearest parent has.
  for (let length = path.length; length >= 0; length--) {
    const node = source.document.getIn(path.slice(0, length), true)
    if (isNode(node) && node.range != null) return place(source, node.range[0])
  }
  return source.file
}

const merge = (sources: Source[]): Merged => {
  const merged: Merged = { document: {}, origins: new Map(), findings: [] }
  for (const source of sources) {
    const content = (source.document.toJS() ?? {}) as Record<string, unknown>
    for (const [key, list] of Object.entries(content)) {
      if (!Array.isArray(list) || !kinds.includes(key as Kind)) {
        const detail = Array.isArray(list) ? `unknown list "${key}": expected ${kinds.join(', ')}` : `"${key}" must be a list`
        merged.findings.push(finding('invalid_value', `${lineOf(source, [key])} ${key}`, detail))
        continue
      }
      merged.document[key] = [...merged.document[key] ?? [], ...list]
      const origins = merged.origins.get(key as Kind) ?? []
      merged.origins.set(key as Kind, [...origins, ...list.map((_, index) => ({ source, index }))])
    }
  }
  return merged
}

const toNumber = (part: string): string | number => /^\d+$/.test(part) ? Number(part) : part

const locate = (found: Finding, origins: Merged['origins']): Finding => {
  const [kind, index, ...rest] = found.path.split('.')
  const origin = origins.get(kind as Kind)?.[Number(index)]
  if (kind === undefined || origin === undefined) return found
  const path = [kind, origin.index, ...rest.map(toNumber)]
  return { ...found, path: `${lineOf(origin.source, path)} ${path.join('.')}` }
}

const read = async (folder: string, file: string): Promise<Source> => {
  const lines = new LineCounter()
  const document = parseDocument(await readFile(file, 'utf8'), { lineCounter: lines })
  return { file: relative(folder, file), document, lines }
}

/** Reads and checks a folder; on a fault every finding is given. */
export const readDeclarations = async (folder: string): Promise<Result<Configuration, Finding[]>> => {
  let files: string[]
  try {
    files = await yamlFiles(folder)
  } catch (error) {
    return err([finding('invalid_syntax', folder, (error as Error).message)])
  }
  if (files.length === 0) return err([finding('invalid_syntax', folder, 'no .yaml files')])
  const sources = await Promise.all(files.map(file => read(folder, file)))
  const syntax = sources.flatMap(source => source.document.errors.map(error =>
    finding('invalid_syntax', place(source, error.pos[0]), error.message.split('\n')[0] ?? '')))
  if (syntax.length > 0) return err(syntax)
  const { document, origins, findings } = merge(sources)
  const checked = check(document)
  const located = checked.isErr() ? checked.error.map(each => locate(each, origins)) : []
  if (checked.isErr() || findings.length > 0) return err([...findings, ...located])
  return ok(checked.value)
}
