/**
 * The demo: sends requests through real entry and side processes, with stand-ins for the platform, the engines and a plain service.
 */
import { TestSystem } from './test-system.js'

const print = (text: string): boolean => process.stdout.write(`${text}\n`)

const requestStatement = async (system: TestSystem): Promise<void> => {
  const body = { model: 'quetzal/statement@v4', stream: true, max_tokens: 6, messages: [{ role: 'user', content: 'Why is a contribution missing?' }] }
  const reply = await system.ask('quetzal', '/v1/chat/completions', body, { headers: { 'finchpitch-class': 'desk' } })
  const text = await reply.body.text()
  print(`\nstatement request: ${reply.statusCode}, ${String(reply.headers['finchpitch-outcome'])}\n${text.trim()}`)
  for (const [index, server] of system.engines.entries()) {
    for (const { label, id } of server.engine.runs) print(`it ran on engine-${index} as ${label}, request ${id}`)
  }
  if (!text.includes('quetzal/statement@v4') || !text.includes('[DONE]')) throw new Error('the response stream is incomplete: model label or [DONE] is missing')
}

const changeBooking = async (system: TestSystem): Promise<void> => {
  for (const attempt of ['first try', 'second try of the same key']) {
    const reply = await system.ask('fjordtavle', '/services/booking-ledger/slots/14-30', { customer: 'Ingrid', at: '14:30' }, { headers: { 'idempotency-key': 'booking-2041' } })
    print(`\nbooking change, ${attempt}: ${reply.statusCode}, ${String(reply.headers['finchpitch-outcome'])}\n${await reply.body.text()}`)
  }
  const { changes } = system.ledger.service
  print(`the ledger ran ${changes.length} change, through ledger-0`)
  if (changes.length !== 1) throw new Error('the booking did not run exactly once')
}

const system = await TestSystem.start({ engines: 2 })
for (const [name, { listening }] of system.daemons) print(`${name.padEnd(10)} ${JSON.stringify(listening)}`)
try {
  await requestStatement(system)
  await changeBooking(system)
} finally {
  const codes = await system.stop('SIGTERM')
  print(`\nstopped with exit codes ${[...codes.values()].join(', ')}`)
}
