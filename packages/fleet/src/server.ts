/**
 * Backend servers as the platform lists them, and adapters as requests name them.
 */
import * as z from 'zod'

/** What an engine holds of one base model. */
export const HeldModel = z.object({
  name: z.string(),
  version: z.number(),
  /** Adapter name to its version. */
  adapters: z.record(z.string(), z.number())
})
export type HeldModel = z.infer<typeof HeldModel>

export const BackendServer = z.object({
  id: z.string(),
  /** Unix ms of its start. A server may start again under its id; it knows nothing of before then. */
  bornAt: z.number().int().optional(),
  service: z.string(),
  /** `host:port`. */
  address: z.string(),
  domain: z.string(),
  /** Requests that it works on at once. */
  slots: z.number().int().positive(),
  leaving: z.boolean(),
  models: z.array(HeldModel)
})
export type BackendServer = z.infer<typeof BackendServer>

/** Whether it is an earlier life of the same server than the other; not where either says nothing of its start. */
export const isFormer = (bornAt: number | undefined, other: number | undefined): boolean =>
  bornAt !== undefined && other !== undefined && bornAt < other

/** The newest version that was named for an adapter, or for a model's own weights. */
export const NamedVersion = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  version: z.number()
})
export type NamedVersion = z.infer<typeof NamedVersion>

export interface ModelRef {
  model: string
  /** Absent where the base model itself is asked for. */
  adapter?: string
}

/** `model/adapter`, or the model's name alone: the key of an adapter in every map. */
export const refKey = ({ model, adapter }: ModelRef): string => adapter === undefined ? model : `${model}/${adapter}`

export const parseRef = (key: string): ModelRef => {
  const slash = key.indexOf('/')
  return slash < 0 ? { model: key } : { model: key.slice(0, slash), adapter: key.slice(slash + 1) }
}
