/**
 * Predicts the status that an engine will report after it has accepted an order. Pure function.
 *
 * The next order can then be decided without polling the engine again. A wrong prediction does no harm: an order decided on a
 * status that the engine isn't in also names a wrong order count, and the engine refuses it. Without further orders, the status
 * changes only by loads that complete, which take up no further slot.
 */
import type { EngineStatus, EngineOrder, OrderOutcome } from '../ports.js'
import { refKey } from '../server.js'

/** A load without a version loads the newest one; its actual number is known once the engine reports the adapter as loaded. */
const placeholderVersion = 1

/** `undefined` if the engine has to be polled: loading a model takes seconds, and an unload may wait for running requests. */
export const statusAfterOrder = (status: EngineStatus, order: EngineOrder, outcome: OrderOutcome): EngineStatus | undefined => {
  const { operation, model, adapter, version } = order
  if (adapter === undefined) return undefined
  const orders = status.orders + 1
  if (operation === 'load' && outcome === 'accepted') {
    return { ...status, orders, coming: [...status.coming, { key: refKey({ model, adapter }), version: version ?? placeholderVersion }] }
  }
  if (operation === 'unload' && outcome === 'done') return { ...status, orders, models: status.models.map(held => held.name === model ? withoutAdapter(held, adapter) : held) }
  return undefined
}

const withoutAdapter = (held: EngineStatus['models'][number], adapter: string): EngineStatus['models'][number] => {
  const { [adapter]: _removed, ...adapters } = held.adapters
  return { ...held, adapters }
}
