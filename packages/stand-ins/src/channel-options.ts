/**
 * What a process says of itself on a channel, for tests of what speaks over one.
 */
import { Address, FailureDomain, ProcessId, Revision, newIncarnation } from '@finchpitch/core'
import { protocolVersion, type ChannelOptions } from '@finchpitch/wire'

/** Of a process that has read nothing yet. */
export const channelOptions = (name: string): ChannelOptions => {
  const revision = Revision.parse(0)
  return {
    hello: () => ({ type: 'hello', protocol: protocolVersion, process: ProcessId.parse(name), incarnation: newIncarnation(), address: Address.parse('10.0.0.1:1'), domain: FailureDomain.parse('a'), revision }),
    heartbeat: () => ({ type: 'heartbeat', revision })
  }
}
