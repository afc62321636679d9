/**
 * Fencing tokens: each side process that starts for a backend server takes a higher number than any before it. A
 * backend server that checks the number refuses lower ones, so an earlier side process that is still running can no
 * longer control it.
 */
import { backoff, pause, type Random } from '@finchpitch/core'
import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { storeError, type ObjectStore, type StoreError } from './object-store.js'

const maxWriteAttempts = 8
const FenceValue = z.object({ fence: z.number().int().positive() })

/**
 * Takes the next fencing token for a backend server. A number is used only once its write is confirmed, so a lost
 * response merely skips a number. After `signal` aborts, no further attempt is made.
 */
export const acquireFencingToken = async (store: ObjectStore, backend: string, random: Random, signal?: AbortSignal): Promise<Result<number, StoreError>> => {
  const name = `fences/${backend}`
  let lastError = storeError('unavailable')
  for (let failures = 0; failures < maxWriteAttempts; failures++) {
    if (failures > 0) await pause(backoff(failures, random), signal)
    if (signal?.aborted === true) break
    const found = await store.get(name)
    if (found.isErr()) {
      lastError = found.error
      continue
    }
    const last = found.value === undefined ? 0 : FenceValue.parse(found.value.value).fence
    const written = await store.put(name, { fence: last + 1 }, found.value?.version ?? 'absent')
    if (written.isOk()) return ok(last + 1)
    lastError = written.error
  }
  return err(lastError)
}
