/**
 * Declarations: a folder of YAML files, kept in version control, that together form one configuration.
 *
 * A file contains any of the lists `teams`, `models`, `services` and `adapters`. The lists of all files are merged and
 * validated as one document, since elements refer to others across files; each finding gives its file and line.
 */
import { readFile, readdir } from 'node:fs/promises'
import { join, relative } from 'node:path'
import { Configuration, validateConfiguration, finding, type Finding } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import { LineCounter, isNode, parseDocument, type Document } from 'yaml'

type ListName = keyof Configuration
const listNames = Object.keys(Configuration.shape) as ListName[]

interface SourceFile {
  file: string
  document: Document
  lines: LineCounter
}

/** The file that an element of a merged list was declared in, and its index in the list there. */
interface ElementOrigin {
  source: SourceFile
  index: number
}

interface MergedFiles {
  document: Record<string, unknown[]>
  origins: Map<ListName, ElementOrigin[]>
  findings: Finding[]
}

const yamlFiles = async (folder: string): Promise<string[]> => {
  const entries = await readdir(folder, { withFileTypes: true, recursive: true })
  return entries
    .filter(entry => entry.isFile() && /\.ya?ml$/.test(entry.name))
    .map(entry => join(entry.parentPath, entry.name))
    .sort()
}

const formatPosition = ({ file, lines }: SourceFile, offset: number): string => `${file}:${lines.linePos(offset).line}`

const positionOf = (source: SourceFile, path: Array<string | number>): string => {
  // A missing field has no node in the document: fall back to the nearest parent that has one.
  for (let length = path.length; length >= 0; length--) {
    const node = source.document.getIn(path.slice(0, length), true)
    if (isNode(node) && node.range != null) return formatPosition(source, node.range[0])
  }
  return source.file
}

const merge = (sources: SourceFile[]): MergedFiles => {
  const merged: MergedFiles = { document: {}, origins: new Map(), findings: [] }
  for (const source of sources) {
    const content = (source.document.toJS() ?? {}) as Record<string, unknown>
    for (const [key, list] of Object.entries(content)) {
      if (!Array.isArray(list) || !listNames.includes(key as ListName)) {
        const detail = Array.isArray(list) ? `unknown list "${key}": expected ${listNames.join(', ')}` : `"${key}" must be a list`
        merged.findings.push(finding('invalid_value', `${positionOf(source, [key])} ${key}`, detail))
        continue
      }
      merged.document[key] = [...merged.document[key] ?? [], ...list]
      const origins = merged.origins.get(key as ListName) ?? []
      merged.origins.set(key as ListName, [...origins, ...list.map((_, index) => ({ source, index }))])
    }
  }
  return merged
}

const parsePathSegment = (part: string): string | number => /^\d+$/.test(part) ? Number(part) : part

const withPosition = (unlocated: Finding, origins: MergedFiles['origins']): Finding => {
  const [listName, index, ...rest] = unlocated.path.split('.')
  const origin = origins.get(listName as ListName)?.[Number(index)]
  if (listName === undefined || origin === undefined) return unlocated
  const path = [listName, origin.index, ...rest.map(parsePathSegment)]
  return { ...unlocated, path: `${positionOf(origin.source, path)} ${path.join('.')}` }
}

const parseFile = async (folder: string, file: string): Promise<SourceFile> => {
  const lines = new LineCounter()
  const document = parseDocument(await readFile(file, 'utf8'), { lineCounter: lines })
  return { file: relative(folder, file), document, lines }
}

/** Reads and validates a folder of declarations. Fails with all findings; files with syntax errors are
 * reported alone, before their contents are validated. */
export const readDeclarations = async (folder: string): Promise<Result<Configuration, Finding[]>> => {
  let files: string[]
  try {
    files = await yamlFiles(folder)
  } catch (error) {
    return err([finding('invalid_syntax', folder, (error as Error).message)])
  }
  if (files.length === 0) return err([finding('invalid_syntax', folder, 'no .yaml files')])
  const sources = await Promise.all(files.map(file => parseFile(folder, file)))
  const syntaxFindings = sources.flatMap(source => source.document.errors.map(error =>
    finding('invalid_syntax', formatPosition(source, error.pos[0]), error.message.split('\n')[0] ?? '')))
  if (syntaxFindings.length > 0) return err(syntaxFindings)
  const { document, origins, findings } = merge(sources)
  const checked = validateConfiguration(document)
  const locatedFindings = checked.isErr() ? checked.error.map(each => withPosition(each, origins)) : []
  if (checked.isErr() || findings.length > 0) return err([...findings, ...locatedFindings])
  return ok(checked.value)
}
