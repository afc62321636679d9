/**
 * Loaded into each process of a fleet before its program: silences its connections to side processes of other failure domains, and those
 * of the entries of the first domain to the store, while the file exists that `CUT_LINKS` names.
 */
import { existsSync } from 'node:fs'
import { Socket, type NetConnectOpts } from 'node:net'
import { peerPort } from '@finchpitch/stand-ins'

const pollMs = 10
const storeDomain = '200'

const [, role, ownDomain] = /([a-z]+)-d(\d+)-\d+\.toml$/.exec(process.env.FINCHPITCH_CONFIG ?? '') ?? []
const switchPath = process.env.CUT_LINKS ?? ''

const links = new Set<Socket>()
let isCut = false

const isLink = ({ host, port }: { host?: string | undefined, port?: number }): boolean => {
  const domain = /^127\.\d+\.(\d+)\./.exec(host ?? '')?.[1]
  if (domain === undefined) return false
  if (port === peerPort) return domain !== ownDomain
  return domain === storeDomain && role === 'entry' && ownDomain === '0'
}

const silence = (socket: Socket): void => {
  socket.pause()
  socket.write = () => true
}

const connect = Socket.prototype.connect as (...args: unknown[]) => Socket
Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  // Node passes its own calls on as an array.
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as NetConnectOpts & { host?: string, port?: number }
  if (!isLink(options)) return connect.apply(this, args)
  links.add(this)
  this.once('close', () => links.delete(this))
  return isCut ? this : connect.apply(this, args)
}

setInterval(() => {
  const cut = existsSync(switchPath)
  if (cut && !isCut) for (const link of links) silence(link)
  if (!cut && isCut) for (const link of links) link.destroy()
  isCut = cut
}, pollMs).unref()
