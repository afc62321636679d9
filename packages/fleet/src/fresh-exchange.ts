/**
 * Asking a peer how fresh its routing table is, and answering, over the channels that exist anyway.
 */
import type { Channel, FrameOf } from '@finchpitch/wire'
import { elapsedMs } from './clock.js'
import { frameOf } from './fact.js'
import type { Facts } from './facts.js'

const tableRevision = (facts: Facts): number => facts.revisionOf('table', 'table')

export const askFresh = (facts: Facts, channel: Channel): void => {
  channel.send({ type: 'ask_fresh', stamp: elapsedMs(), revision: tableRevision(facts) })
}

export const acceptFresh = (facts: Facts, proof: FrameOf<'fresh'>): boolean => facts.freshness.accept(proof, tableRevision(facts))

/** A question, and when it came on this process's elapsed clock. */
export interface Question {
  channel: Channel
  ask: FrameOf<'ask_fresh'>
  cameAt: number
}

/** Answers, after the table where the peer has an older one: a proof for a table that it lacks would be of no use to it. */
export const answerFresh = (facts: Facts, { channel, ask, cameAt }: Question): void => {
  const table = facts.current('table', 'table')
  if (table !== undefined && table.revision > ask.revision) channel.send(frameOf(table))
  channel.send(facts.freshness.answer(ask.stamp, cameAt, tableRevision(facts)))
}
