/**
 * Follows which side processes are listed: there is one beside each engine.
 */
import { hostOf } from '@finchpitch/core'
import { KeeperHistory } from '@finchpitch/decisions'
import { nowMs } from './clock.js'
import type { Facts } from './facts.js'
import { streamWindowMs } from './software-versions.js'

export const followKeepers = (facts: Pick<Facts, 'servers' | 'routes' | 'onSettled'>): KeeperHistory => {
  const history = new KeeperHistory({ windowMs: streamWindowMs })
  facts.onSettled(kinds => {
    if (!kinds.has('server') && !kinds.has('table')) return
    const engines = [...facts.servers.values()].filter(({ service }) => facts.routes?.service(service)?.engine !== undefined)
    history.list(engines.map(({ address, domain }) => ({ host: hostOf(address), domain })), nowMs())
  })
  return history
}
