/*
 * A process whose log nobody reads did not end: its write blocked in the runtime's thread pool, for which the exit waits. Each case runs
 * in a process of its own, with the output that it is about as its standard output.
 */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, constants, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pause } from '@finchpitch/core'
import { eventually } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const exitCode = 3
/** Twice what a pipe or socket takes. */
const lineCount = 4000
const lineText = 'x'.repeat(100)
const settleMs = 300

const core = import.meta.resolve('@finchpitch/core')

/** Writes its lines, then runs `then`, and exits through the end of the sink. */
const program = (lines: number, then = ''): string[] => ['--input-type=module', '--eval', `
import { BufferedLineSink } from '${core}'
const sink = new BufferedLineSink(1)
const write = (from, to) => { for (let line = from; line < to; line++) sink.write(line + ' ${lineText}') }
write(0, ${lines})
${then}
await sink.end()
process.exit(${exitCode})
`]

const expectedLines = Array.from({ length: lineCount }, (_, line) => `${line} ${lineText}`)

describe('the end of a process with a buffered log', function () {
  this.timeout(30_000)
  let folder: string
  let children: ChildProcess[]
  let descriptors: number[]

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'line-sink-'))
    children = []
    descriptors = []
  })

  afterEach(() => {
    for (const child of children) child.kill('SIGKILL')
    for (const descriptor of descriptors) closeSync(descriptor)
    rmSync(folder, { recursive: true })
  })

  const start = (output: 'pipe' | number, parameters: string[]): ChildProcess => {
    const child = spawn(process.execPath, parameters, { stdio: ['ignore', output, 'inherit'] })
    children.push(child)
    return child
  }

  const open = (path: string, flags: number): number => {
    const descriptor = openSync(path, flags)
    descriptors.push(descriptor)
    return descriptor
  }

  /** The ends of a pipe that nobody reads so far. */
  const openPipe = (): { reader: number, writer: number } => {
    const path = join(folder, 'pipe')
    spawnSync('mkfifo', [path])
    return { reader: open(path, constants.O_RDONLY | constants.O_NONBLOCK), writer: open(path, constants.O_WRONLY) }
  }

  const exitOf = async (child: ChildProcess): Promise<number | null> => {
    const [code] = await once(child, 'exit', { signal: AbortSignal.timeout(8000) }) as [number | null]
    return code
  }

  /** The lines that a process writes until it has ended. */
  const outputOf = async (child: ChildProcess): Promise<string[]> => {
    let text = ''
    child.stdout?.setEncoding('utf8').on('data', (part: string) => { text += part })
    await once(child, 'close')
    return text.trimEnd().split('\n')
  }

  const outputs: Record<string, () => 'pipe' | number> = { 'a socket': () => 'pipe', 'a pipe': () => openPipe().writer }
  for (const [name, output] of Object.entries(outputs)) {
    it(`is not delayed by ${name} that nobody reads`, async () => {
      const child = start(output(), program(lineCount))
      child.stdout?.pause()
      expect(await exitOf(child)).to.equal(exitCode)
    })
  }

  it('is not delayed by a terminal that nobody reads', async () => {
    const command = [process.execPath, ...program(lineCount)].map(word => `'${word.replaceAll("'", "'\\''")}'`).join(' ')
    // The terminal's other end is written to a pipe that nobody reads. The exit code is that of the command, in a file.
    const codePath = join(folder, 'code')
    const child = spawn('script', ['--quiet', '--command', `${command}; echo $? > ${codePath}`, '/dev/null'], { stdio: ['ignore', openPipe().writer, 'inherit'] })
    children.push(child)
    await eventually('the command has ended', () => { try { return readFileSync(codePath, 'utf8') === `${exitCode}\n` } catch { return false } })
  })

  describe('keeps all lines in order', () => {
    it('at a socket that is read', async () => {
      expect(await outputOf(start('pipe', program(lineCount)))).to.deep.equal(expectedLines)
    })

    it('at a pipe that is read', async () => {
      const child = spawn('sh', ['-c', '"$@" | cat', 'sh', process.execPath, ...program(lineCount)], { stdio: ['ignore', 'pipe', 'inherit'] })
      children.push(child)
      expect(await outputOf(child)).to.deep.equal(expectedLines)
    })

    it('in a file', async () => {
      const path = join(folder, 'file')
      expect(await exitOf(start(open(path, constants.O_WRONLY | constants.O_CREAT), program(lineCount)))).to.equal(exitCode)
      expect(readFileSync(path, 'utf8').trimEnd().split('\n')).to.deep.equal(expectedLines)
    })

    it('at a socket that is read late', async () => {
      const child = start('pipe', program(lineCount, `await new Promise(resolve => setTimeout(resolve, ${4 * settleMs})); sink.write('last')`))
      await pause(settleMs)
      expect(await outputOf(child)).to.deep.equal([...expectedLines, 'last'])
    })
  })

  it('is in order after the reader has left', async () => {
    const child = start('pipe', program(lineCount, `await new Promise(resolve => setTimeout(resolve, ${settleMs})); write(0, 10)`))
    child.stdout?.destroy()
    expect(await exitOf(child)).to.equal(exitCode)
  })

  // The runtime resets the mode of its standard streams when it exits.
  it('is not delayed by a socket that another process, which has exited, shared', async () => {
    const then = `const waiting = setInterval(() => {}, 1000); await new Promise(resolve => process.once('SIGTERM', resolve)); clearInterval(waiting); write(0, ${lineCount}); await new Promise(resolve => setTimeout(resolve, ${settleMs}))`
    const script = '"$@" & second=$!; "$0" -e "const socket = new net.Socket({ fd: 1 }); setTimeout(() => process.exit(), 900)"; kill -TERM $second; wait $second'
    const child = spawn('sh', ['-c', script, process.execPath, process.execPath, ...program(1, then)], { stdio: ['ignore', 'pipe', 'inherit'] })
    children.push(child)
    child.stdout.pause()
    expect(await exitOf(child)).to.equal(exitCode)
  })
})
