/**
 * Channel options of a test process: the hello and heartbeat frames that it sends.
 */
import { Address, FailureDomain, ProcessId, Revision, newIncarnation } from '@finchpitch/core'
import { protocolVersion, type ChannelOptions } from '@finchpitch/wire'

/** For a process that has not read any configuration yet; it reports revision 0. */
export const channelOptions = (name: string): ChannelOptions => {
  const revision = Revision.parse(0)
  return {
    hello: () => ({ type: 'hello', protocol: protocolVersion, process: ProcessId.parse(name), incarnation: newIncarnation(), address: Address.parse('10.0.0.1:1'), domain: FailureDomain.parse('a'), revision }),
    heartbeat: () => ({ type: 'heartbeat', revision })
  }
}
