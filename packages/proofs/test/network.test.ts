import type { Duplex } from 'node:stream'
import { Address, Revision } from '@finchpitch/core'
import { Network } from '@finchpitch/proofs'
import { FakeTime } from '@finchpitch/stand-ins'
import { FrameDecoder, encodeFrame } from '@finchpitch/wire'
import { expect } from 'chai'

describe('the simulated network', () => {
  const address = Address.parse('10.0.0.1:1')
  let time: FakeTime
  let network: Network
  let received: number[]

  beforeEach(() => {
    time = new FakeTime()
    network = new Network()
    received = []
    const accept = async (stream: Duplex): Promise<void> => {
      const decoder = new FrameDecoder()
      for await (const bytes of stream) {
        for (const frame of decoder.read(bytes as Buffer)._unsafeUnwrap()) if (frame.type === 'heartbeat') received.push(frame.revision)
      }
    }
    network.listen(address, { process: 'side-0', accept })
  })

  afterEach(() => time.restore())

  // Guards against frames that overtake others within a connection, which TCP rules out.
  it('keeps the order of frames when a delay ends', async () => {
    const stream = await network.dialFrom('entry-0')(address)
    const send = (revision: number): boolean => stream.write(encodeFrame({ type: 'heartbeat', revision: Revision.parse(revision) }))
    network.delayMs = 100
    send(1)
    network.delayMs = 0
    send(2)
    await time.advance(99)
    expect(received).to.deep.equal([])
    await time.advance(1)
    expect(received).to.deep.equal([1, 2])
    stream.destroy()
  })
})
