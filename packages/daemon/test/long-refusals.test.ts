/*
 * Guards against refusals of a backend server whose text is long: the entry took the frame with the text for corrupt, closed its channel to
 * the side process, and all requests on the channel were lost.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { TestSystem, sendJson } from '@finchpitch/stand-ins'
import { expect } from 'chai'

const salonStream = { model: 'fjordtavle/salon', prompt: 'x', stream: true, max_tokens: 100 }
const statement = { model: 'quetzal/statement', prompt: 'x', stream: false, max_tokens: 1 }

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

describe('a refusal with a long text', function () {
  this.timeout(30_000)
  let system: TestSystem

  beforeEach(async () => { system = await TestSystem.start() })
  afterEach(async () => { await system.stop() })

  it('is passed on, and other requests on the channel go on', async () => {
    const [engine] = system.engines
    if (engine === undefined) throw new Error('there is an engine')
    const server = engine as unknown as { handle: Handler }
    const handle = server.handle.bind(engine)
    engine.engine.tokenMs = 20
    const other = await system.ask('fjordtavle', '/v1/completions', salonStream)
    server.handle = async (request, response) => {
      if (request.url === '/v1/completions') sendJson(response, 503, { error: 'x'.repeat(5000) }, { 'x-engine-boot': engine.engine.boot })
      else await handle(request, response)
    }
    const refused = await system.ask('quetzal', '/v1/completions', statement)
    expect(refused.statusCode).to.equal(503)
    expect((await refused.body.json() as { error: { outcome: string } }).error.outcome).to.equal('not_run')
    expect(await other.body.text()).to.contain('[DONE]')
  })
})
