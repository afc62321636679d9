/**
 * The classes of prom-client that the metrics use, imported one by one. The package's main module also loads its push gateway, its
 * default metrics and its cluster support, with the parts of the runtime that these need, at each start.
 */
import type * as promClient from 'prom-client'
// @ts-expect-error The package declares types only for its main module.
import counter from 'prom-client/lib/counter.js'
// @ts-expect-error As above.
import gauge from 'prom-client/lib/gauge.js'
// @ts-expect-error As above.
import histogram from 'prom-client/lib/histogram.js'
// @ts-expect-error As above.
import registry from 'prom-client/lib/registry.js'

export const Counter = counter as typeof promClient.Counter
export const Gauge = gauge as typeof promClient.Gauge
export type Gauge<Label extends string = string> = promClient.Gauge<Label>
export const Histogram = histogram as typeof promClient.Histogram
export const Registry = registry as typeof promClient.Registry
