/**
 * What the scripts of this review share: a small fleet of the project's own programs at free loopback addresses, separate server
 * processes, a link that can be cut, the record of the run and its exit status.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync, appendFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { fileURLToPath } from 'node:url'
import { FleetSystem, sendToFleet } from '../../packages/stand-ins/dist/index.js'

export const trouble = process.env.TROUBLE !== '0'
const limitMs = 110_000
const status = { held: 0, broken: 1, couldNotRun: 2 }

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

/** The record of one run. */
export class Record {
  #startedAt = performance.now()

  constructor (folderUrl) {
    this.path = fileURLToPath(new URL('record.txt', folderUrl))
    writeFileSync(this.path, `TROUBLE=${trouble ? 1 : 0}\n`)
  }

  write (text) {
    appendFileSync(this.path, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}\n`)
  }
}

const isFree = async (host, port) => {
  const server = createServer()
  const listening = new Promise(resolve => {
    server.once('listening', () => resolve(true))
    server.once('error', () => resolve(false))
  })
  server.listen(port, host)
  if (!await listening) return false
  await new Promise(resolve => server.close(resolve))
  return true
}

/** A second octet whose addresses nobody uses: the fleet has fixed ports, at addresses of its own. */
const freeNetwork = async () => {
  for (let tries = 0; tries < 50; tries++) {
    const network = 100 + Math.floor(Math.random() * 120)
    if (await isFree(`127.${network}.200.1`, 8142) && await isFree(`127.${network}.0.10`, 8149)) return network
  }
  throw new Error('no free loopback addresses')
}

/** Runs one case. `run` resolves to whether the rule held. */
export const runCase = async (folderUrl, options, run) => {
  const record = new Record(folderUrl)
  const children = new Set()
  let fleet
  const endAll = async () => {
    for (const child of children) child.kill('SIGKILL')
    await fleet?.stop().catch(error => record.write(`stop: ${error.message}`))
  }
  const guard = setTimeout(() => {
    record.write('could not run: took too long')
    endAll().finally(() => process.exit(status.couldNotRun))
  }, limitMs)
  let code = status.couldNotRun
  try {
    fleet = new FleetSystem({ network: await freeNetwork(), domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plainServersPerDomain: 1, adapterSlots: 8, loadMs: 50, workMs: 20, events: 10, eventMs: 20, ...options })
    await fleet.start()
    const held = await run({ fleet, record, children })
    code = held ? status.held : status.broken
    record.write(held ? 'the rule held' : 'THE RULE WAS BROKEN')
  } catch (error) {
    record.write(`could not run: ${error.stack}`)
  }
  clearTimeout(guard)
  await endAll()
  process.exit(code)
}

/** Starts a server process; resolves once it listens. */
export const startServer = async ({ children, record }, options) => {
  const script = fileURLToPath(new URL('server.mjs', import.meta.url))
  const child = spawn(process.execPath, [script, JSON.stringify(options)], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.add(child)
  child.once('exit', () => children.delete(child))
  let resolveListening
  const listening = new Promise(resolve => { resolveListening = resolve })
  let rest = ''
  child.stdout.setEncoding('utf8').on('data', text => {
    const lines = (rest + text).split('\n')
    rest = lines.pop()
    for (const line of lines) {
      if (line === 'listening') resolveListening()
      record.write(`server ${options.id} (born ${options.born}): ${line}`)
    }
  })
  await Promise.race([listening, once(child, 'exit').then(() => { throw new Error('the server did not start') })])
  return child
}

/** Kills a server process and waits for its end. */
export const killServer = async child => {
  const exited = once(child, 'exit')
  child.kill('SIGKILL')
  await exited
}

/**
 * A link to a server. While it is cut, nothing passes in either direction; what was sent before and meanwhile arrives once it is whole
 * again, as TCP sends it again, and so does the end of a connection.
 */
export class Link {
  #cut = false
  #pairs = new Set()

  async start (host, port, targetHost, targetPort) {
    this.server = createServer({ allowHalfOpen: true }, near => this.#connect(near, targetHost, targetPort))
    this.server.listen(port, host)
    await once(this.server, 'listening')
  }

  cut () {
    this.#cut = true
    for (const pair of this.#pairs) for (const socket of pair) socket.pause()
  }

  heal () {
    this.#cut = false
    for (const pair of this.#pairs) for (const socket of pair) socket.resume()
  }

  stop () {
    for (const pair of this.#pairs) for (const socket of pair) socket.destroy()
    this.server.close()
  }

  #connect (near, host, port) {
    const far = connect({ host, port, allowHalfOpen: true })
    const pair = [near, far]
    this.#pairs.add(pair)
    const join = (from, to) => {
      from.on('data', chunk => {
        if (to.write(chunk)) return
        from.pause()
        to.once('drain', () => { if (!this.#cut) from.resume() })
      })
      from.on('end', () => to.end())
      from.on('error', () => to.resetAndDestroy())
      from.on('close', () => {
        this.#pairs.delete(pair)
        if (!to.destroyed && !to.writableEnded) to.destroy()
      })
    }
    join(near, far)
    join(far, near)
    if (this.#cut) for (const socket of pair) socket.pause()
  }
}

const shortRoute = { name: 'r-short', host: 'fleet.example', pathPrefix: '/short/', kind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: 'ledger', sticky: false, resumable: false }

/** The route of small answers that have a length. */
export const withShort = routes => [...routes, shortRoute]

/** Asks for small answers that have a length, one every few ms; resolves once all have been answered, to how many were served. */
export const askShort = async (fleet, count) => {
  const asked = []
  for (let each = 1; each <= count; each++) {
    asked.push(sendToFleet(fleet, { path: `/short/${each}`, id: `short-${each}`, entry: 0, remainingMs: 1000 }).then(({ status }) => status === 200, () => false))
    await pause(4)
  }
  return (await Promise.all(asked)).filter(served => served).length
}

/** The entry of a server of the plain service, as it writes it to the store. */
export const listServer = (fleet, { id, host, born }, state = 'ready') =>
  fleet.store.put('servers', id, { born, service: 'ledger', address: `${host}:8145`, zone: 'd0', version: 'v1', slots: 32, state, coldRemainingMs: 0, sequence: 0 })
