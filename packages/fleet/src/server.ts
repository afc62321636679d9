/**
 * Backend servers as the store lists them, and references to models and adapters as requests use them.
 */
import * as z from 'zod'

/** A base model that an engine has loaded, with its adapters. */
export const LoadedModel = z.object({
  name: z.string(),
  version: z.number(),
  /** The version of each loaded adapter, by name. */
  adapters: z.record(z.string(), z.number())
})
export type LoadedModel = z.infer<typeof LoadedModel>

export const BackendServer = z.object({
  id: z.string(),
  /** Start time in Unix ms. A server may restart under the same id, without any state from before. */
  bornAt: z.number().int().optional(),
  service: z.string(),
  /** `host:port`. */
  address: z.string(),
  domain: z.string(),
  /** Version of its software, which is neither that of its models nor ordered; absent if it states none. */
  softwareVersion: z.string().optional(),
  /** Requests that it processes concurrently. */
  slots: z.number().int().positive(),
  leaving: z.boolean(),
  models: z.array(LoadedModel)
})
export type BackendServer = z.infer<typeof BackendServer>

/** Whether this start time of a server is earlier than the other one; false if either is unknown. */
export const isEarlierIncarnation = (bornAt: number | undefined, other: number | undefined): boolean =>
  bornAt !== undefined && other !== undefined && bornAt < other

/** The newest version that operators named for an adapter or for a base model's own weights. */
export const NamedVersion = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  version: z.number()
})
export type NamedVersion = z.infer<typeof NamedVersion>

export interface ModelRef {
  model: string
  /** Absent if the base model itself is requested. */
  adapter?: string
}

/** `model/adapter`, or only the model's name: the key of an adapter or a base model in all maps. */
export const refKey = ({ model, adapter }: ModelRef): string => adapter === undefined ? model : `${model}/${adapter}`

export const parseRef = (key: string): ModelRef => {
  const slash = key.indexOf('/')
  return slash < 0 ? { model: key } : { model: key.slice(0, slash), adapter: key.slice(slash + 1) }
}
