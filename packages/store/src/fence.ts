/**
 * Fences: a number for each side process at a backend server, higher than that of every earlier one there.
 */
import { backoff, pause, type Random } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { storeFault, type ObjectStore, type StoreFault } from './object-store.js'

const triesOfWrite = 8
const FenceValue = z.object({ fence: z.number().int().positive() })

/**
 * Takes the next fence for a backend server. A number whose write may have been lost is never used, so a lost
 * answer only skips one.
 */
export const takeFence = async (store: ObjectStore, backend: string, random: Random): Promise<Result<number, StoreFault>> => {
  const name = `fences/${backend}`
  let fault = storeFault('unavailable')
  for (let failures = 0; failures < triesOfWrite; failures++) {
    if (failures > 0) await pause(backoff(failures, random))
    const found = await store.get(name)
    if (found.isErr()) {
      fault = found.error
      continue
    }
    const last = found.value === undefined ? 0 : FenceValue.parse(found.value.value).fence
    const written = await store.put(name, { fence: last + 1 }, found.value?.version ?? 'absent')
    if (written.isOk()) return ok(last + 1)
    fault = written.error
  }
  return err(fault)
}
