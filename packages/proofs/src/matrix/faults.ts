/**
 * The faults of the matrix: each is injected at a step of a scenario, and most are removed again some seconds later.
 */
import type { Cluster } from './cluster.js'

export interface Fault {
  /** Takes a backend server out for the rest of the run: a scenario with one server of its kind serves nothing afterwards. */
  forGood?: true
  /** Does not interrupt running requests: draining must still let each of them complete. */
  harmless?: true
  strike: (cluster: Cluster) => void
  /** Removes the fault, or starts a replacement for a killed process; does nothing for a fault without recovery. */
  end: (cluster: Cluster) => Promise<void>
}

const noRecovery = async (): Promise<void> => {}

export const faults = {
  'entry killed': {
    strike: cluster => cluster.kill(cluster.entry(0)),
    end: noRecovery
  },
  'entry paused': {
    strike: cluster => cluster.pause(cluster.entry(0)),
    end: async cluster => cluster.resume(cluster.entry(0))
  },
  'side killed': {
    strike: cluster => cluster.kill(cluster.busySide),
    end: async cluster => await cluster.replace(cluster.busySide)
  },
  'side paused': {
    strike: cluster => cluster.pause(cluster.busySide),
    end: async cluster => cluster.resume(cluster.busySide)
  },
  'side replaced while paused': {
    strike: cluster => {
      cluster.pause(cluster.busySide)
      void cluster.replace(cluster.busySide)
    },
    end: async cluster => {
      for (const side of cluster.sides) cluster.resume(side)
    }
  },
  'links cut': {
    strike: cluster => cluster.network.cutAll(),
    end: noRecovery
  },
  'frames late': {
    harmless: true,
    strike: cluster => { cluster.network.delayMs = 1500 },
    end: async cluster => { cluster.network.delayMs = 0 }
  },
  'frames doubled': {
    harmless: true,
    strike: cluster => { cluster.network.duplicate = true },
    end: async cluster => { cluster.network.duplicate = false }
  },
  'frame truncated': {
    strike: cluster => { cluster.network.truncate = true },
    end: async cluster => { cluster.network.truncate = false }
  },
  'backend answer lost': {
    strike: cluster => {
      for (const service of cluster.services) service.loseAnswers = 1
      for (const engine of cluster.engines) engine.loseAnswers = 1
    },
    end: noRecovery
  },
  'backend unreachable': {
    strike: cluster => {
      for (const backend of [...cluster.services, ...cluster.engines]) backend.down = true
    },
    end: async cluster => {
      for (const backend of [...cluster.services, ...cluster.engines]) backend.down = false
    }
  },
  'engine restarts empty': {
    harmless: true,
    strike: cluster => cluster.engines.forEach(engine => {
      engine.fallsBack = true
      engine.restart()
    }),
    end: noRecovery
  },
  'load fails': {
    harmless: true,
    strike: cluster => ['letter-v2', 'statement-v2'].forEach(source => cluster.weights.broken.add(source)),
    end: async cluster => cluster.weights.broken.clear()
  },
  'store down': {
    harmless: true,
    strike: cluster => { cluster.store.down = true },
    end: async cluster => { cluster.store.down = false }
  },
  'store slow': {
    harmless: true,
    strike: cluster => { cluster.store.delayMs = 900 },
    end: async cluster => { cluster.store.delayMs = 0 }
  },
  'store answer lost': {
    harmless: true,
    strike: cluster => { cluster.store.loseAnswers = 1 },
    end: async cluster => { cluster.store.loseAnswers = 0 }
  },
  'watches deaf and doubled': {
    harmless: true,
    strike: cluster => {
      cluster.store.deafWatches = true
      cluster.store.repeatEvents = true
    },
    end: noRecovery
  },
  'watches cut': {
    harmless: true,
    strike: cluster => cluster.store.cutWatches(),
    end: noRecovery
  },
  'side leaves, list lags': {
    forGood: true,
    harmless: true,
    strike: cluster => {
      cluster.listLags = true
      cluster.busySide.side.leave()
    },
    end: noRecovery
  }
} satisfies Record<string, Fault>

export type FaultName = keyof typeof faults
export const faultNames = Object.keys(faults) as FaultName[]
