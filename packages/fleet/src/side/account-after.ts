/**
 * What an engine's account says after an order that it took: a plain function.
 *
 * The next order can then be decided without another look at the engine. That is safe by the count of orders: an order
 * decided on a state that isn't the engine's names a count that isn't its either, and is refused. Between two looks loads
 * only end, which takes no place.
 */
import type { EngineAccount, EngineOrder, OrderOutcome } from '../ports.js'
import { refKey } from '../server.js'

/** A load that names no version brings the newest, which is told once it is held. */
const unnamedVersion = 1

/** `undefined` where only a look can tell: models are loaded for seconds, and an unload may wait for its runs. */
export const accountAfter = (account: EngineAccount, order: EngineOrder, outcome: OrderOutcome): EngineAccount | undefined => {
  const { operation, model, adapter, version } = order
  if (adapter === undefined) return undefined
  const orders = account.orders + 1
  if (operation === 'load' && outcome === 'accepted') {
    return { ...account, orders, coming: [...account.coming, { key: refKey({ model, adapter }), version: version ?? unnamedVersion }] }
  }
  if (operation === 'unload' && outcome === 'done') return { ...account, orders, models: account.models.map(held => held.name === model ? without(held, adapter) : held) }
  return undefined
}

const without = (held: EngineAccount['models'][number], adapter: string): EngineAccount['models'][number] => {
  const { [adapter]: _gone, ...adapters } = held.adapters
  return { ...held, adapters }
}
