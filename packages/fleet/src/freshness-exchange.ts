/**
 * Requests and answers for freshness proofs of the routing table, over the channels that already connect the processes.
 */
import type { Channel, FrameOf } from '@finchpitch/wire'
import { boottimeMs } from './clock.js'
import { frameOf } from './fact.js'
import type { Facts } from './facts.js'

const tableRevision = (facts: Facts): number => facts.revisionOf('table', 'table')

/** Asks a peer for a freshness proof. */
export const requestProof = (facts: Facts, channel: Channel): void => {
  channel.send({ type: 'ask_fresh', stamp: boottimeMs(), revision: tableRevision(facts) })
}

/** Applies a peer's proof. Returns whether it was acceptable. */
export const acceptProof = (facts: Facts, proof: FrameOf<'fresh'>): boolean => facts.freshness.accept(proof, tableRevision(facts))

/** A peer's request for a proof, with the time of its arrival on this process's boot-time clock. */
export interface ProofRequest {
  channel: Channel
  ask: FrameOf<'ask_fresh'>
  cameAt: number
}

/** Answers a request. Sends the table first if the peer has an older one, since a proof for a table that it lacks would be useless. */
export const answerProofRequest = (facts: Facts, { channel, ask, cameAt }: ProofRequest): void => {
  const table = facts.current('table', 'table')
  if (table !== undefined && table.revision > ask.revision) channel.send(frameOf(table))
  channel.send(facts.freshness.answer(ask.stamp, cameAt, tableRevision(facts)))
}
