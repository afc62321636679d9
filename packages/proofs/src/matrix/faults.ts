/**
 * The faults of the matrix: each is injected at a step of a scenario, and most are removed again some seconds later.
 */
import type { Cluster } from './cluster.js'

export interface Fault {
  /** Takes a backend server out for the rest of the run: a scenario with one server of its kind serves nothing afterwards. */
  permanent?: true
  /** Does not interrupt running requests: draining must still let each of them complete. */
  nonDisruptive?: true
  inject: (cluster: Cluster) => void
  /** Removes the fault, or starts a replacement for a killed process; does nothing for a fault without recovery. */
  end: (cluster: Cluster) => Promise<void>
}

const noRecovery = async (): Promise<void> => {}

export const faults = {
  'entry killed': {
    inject: cluster => cluster.kill(cluster.entry(0)),
    end: noRecovery
  },
  'entry paused': {
    inject: cluster => cluster.pause(cluster.entry(0)),
    end: async cluster => cluster.resume(cluster.entry(0))
  },
  'side killed': {
    inject: cluster => cluster.kill(cluster.activeSide),
    end: async cluster => await cluster.replaceSide(cluster.activeSide)
  },
  'side paused': {
    inject: cluster => cluster.pause(cluster.activeSide),
    end: async cluster => cluster.resume(cluster.activeSide)
  },
  'side replaced while paused': {
    inject: cluster => {
      cluster.pause(cluster.activeSide)
      void cluster.replaceSide(cluster.activeSide)
    },
    end: async cluster => {
      for (const side of cluster.sides) cluster.resume(side)
    }
  },
  'links cut': {
    inject: cluster => cluster.network.cutAll(),
    end: noRecovery
  },
  'frames late': {
    nonDisruptive: true,
    inject: cluster => { cluster.network.delayMs = 1500 },
    end: async cluster => { cluster.network.delayMs = 0 }
  },
  'frames doubled': {
    nonDisruptive: true,
    inject: cluster => { cluster.network.duplicateFrames = true },
    end: async cluster => { cluster.network.duplicateFrames = false }
  },
  'frame truncated': {
    inject: cluster => { cluster.network.truncateNextResponse = true },
    end: async cluster => { cluster.network.truncateNextResponse = false }
  },
  'backend answer lost': {
    inject: cluster => {
      for (const service of cluster.services) service.responsesToLose = 1
      for (const engine of cluster.engines) engine.responsesToLose = 1
    },
    end: noRecovery
  },
  'backend unreachable': {
    inject: cluster => {
      for (const backend of [...cluster.services, ...cluster.engines]) backend.down = true
    },
    end: async cluster => {
      for (const backend of [...cluster.services, ...cluster.engines]) backend.down = false
    }
  },
  'engine restarts empty': {
    nonDisruptive: true,
    inject: cluster => cluster.engines.forEach(engine => {
      engine.fallsBackToBaseModel = true
      engine.restart()
    }),
    end: noRecovery
  },
  'load fails': {
    nonDisruptive: true,
    inject: cluster => ['letter-v2', 'statement-v2'].forEach(source => cluster.weights.broken.add(source)),
    end: async cluster => cluster.weights.broken.clear()
  },
  'store down': {
    nonDisruptive: true,
    inject: cluster => { cluster.store.down = true },
    end: async cluster => { cluster.store.down = false }
  },
  'store slow': {
    nonDisruptive: true,
    inject: cluster => { cluster.store.delayMs = 900 },
    end: async cluster => { cluster.store.delayMs = 0 }
  },
  'store answer lost': {
    nonDisruptive: true,
    inject: cluster => { cluster.store.responsesToLose = 1 },
    end: async cluster => { cluster.store.responsesToLose = 0 }
  },
  'watches deaf and doubled': {
    nonDisruptive: true,
    inject: cluster => {
      cluster.store.silentWatches = true
      cluster.store.duplicateEvents = true
    },
    end: noRecovery
  },
  'watches cut': {
    nonDisruptive: true,
    inject: cluster => cluster.store.closeWatches(),
    end: noRecovery
  },
  'side leaves, list lags': {
    permanent: true,
    nonDisruptive: true,
    inject: cluster => {
      cluster.instanceListFrozen = true
      cluster.activeSide.side.startDraining()
    },
    end: noRecovery
  }
} satisfies Record<string, Fault>

export type FaultName = keyof typeof faults
export const faultNames = Object.keys(faults) as FaultName[]
