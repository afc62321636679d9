/**
 * An entry is killed while it forwards streams. Of these, a few have no length, so that they end with their channel.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, consume, runCase, sleep } from '../stand-ins/platform.mjs'

const events = 55
/** The limits of the site file: 5 % of the answers of half of the runners. */
const unframedShare = 0.05

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble }) => {
  const deployment = new Deployment({ record, enginesPerZone: 2, engine: { events, eventMs: 60 }, engineAt: index => ({ unframedShare: index % 2 === 0 ? unframedShare : 0 }) })
  await deployment.start()
  await deployment.untilReady()
  await sleep(2000)
  const [killed] = deployment.entries
  const results = []
  // Some 165 streams are under way when the entry is killed.
  for (let each = 0; each < 250; each++) {
    results.push(consume(killed, { path: '/suggest/1', headers: { Model: 'm0', 'Token-Usage': '600,275', 'Prompt-Prefix': `${Math.random().toString(16).slice(2, 10)}:600` }, deadlineMs: 5000 }))
    await sleep(20)
  }
  if (trouble) killed.signal('SIGKILL')
  const ended = await Promise.all(results)
  const piecesOf = ({ text }) => (text.match(/^id: /gm) ?? []).length
  const streams = ended.filter(({ end, status }) => end === 'answered' && status === 200)
  const short = streams.filter(each => piecesOf(each) < events)
  const cut = ended.filter(({ end }) => end === 'cut')
  record.write('judged', { sent: ended.length, whole: streams.length - short.length, cut: cut.length, short: short.map(each => ({ id: each.id, pieces: piecesOf(each) })) })
  await deployment.stop()
  console.log(`sent ${ended.length}, whole ${streams.length - short.length}, cut off ${cut.length}, ended as complete before the last piece ${short.length}`)
  if (streams.length - short.length < ended.length / 10) return 2
  return short.length > 0 ? 1 : 0
})
