/**
 * An entry is killed while it forwards streams whose runners give them no length, so that they end with their channel.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, consume, runCase, sleep } from '../stand-ins/platform.mjs'

const events = 30

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble }) => {
  const deployment = new Deployment({ record, enginesPerZone: 1, engine: { unframed: true, events, eventMs: 50 } })
  await deployment.start()
  await deployment.untilReady()
  await sleep(2000)
  const [killed] = deployment.entries
  const results = []
  for (let each = 0; each < 20; each++) {
    results.push(consume(killed, { path: '/suggest/1', headers: { Model: 'm0', 'Token-Usage': '600,150', 'Prompt-Prefix': `${Math.random().toString(16).slice(2, 10)}:600` }, deadlineMs: 5000 }))
    await sleep(40)
  }
  await sleep(500)
  if (trouble) killed.signal('SIGKILL')
  const ended = await Promise.all(results)
  const piecesOf = ({ text }) => (text.match(/^id: /gm) ?? []).length
  const streams = ended.filter(({ end, status }) => end === 'answered' && status === 200)
  const short = streams.filter(each => piecesOf(each) < events)
  record.write('judged', { sent: ended.length, whole: streams.length - short.length, short: short.map(each => ({ id: each.id, pieces: piecesOf(each) })) })
  await deployment.stop()
  console.log(`sent ${ended.length}, whole ${streams.length - short.length}, ended as complete before the last piece ${short.length}`)
  if (!trouble && streams.length < ended.length) return 2
  return short.length > 0 ? 1 : 0
})
