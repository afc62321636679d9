/**
 * The operator names new versions of adapters in use, one after the other. Runners refuse requests that expect the version before, and
 * send some of these refusals twice: the second copy comes late, at the point where the next answer on its channel is due.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, consume, runCase, sleep } from '../stand-ins/platform.mjs'

const adapters = Array.from({ length: 12 }, (_, index) => `a${index + 1}`)
/** The limit of the site file: 60 % of the runners send a second answer to 3 % of their requests. */
const maxShare = 0.03

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble }) => {
  const deployment = new Deployment({ record, enginesPerZone: 2, engine: { events: 8, eventMs: 30, workMs: 40 } })
  await deployment.start()
  await deployment.untilReady()
  await sleep(1500)
  const engines = deployment.runners.filter(({ model }) => model !== undefined)
  // Half of the model runners, and not every answer that the limit allows.
  if (trouble) for (const engine of engines.filter((_, index) => index % 2 === 0)) engine.surplusShare = 0.025
  const results = []
  const traffic = { stopped: false }
  const send = async () => {
    while (!traffic.stopped) {
      for (const entry of deployment.entries) {
        const adapter = adapters[Math.floor(Math.random() * adapters.length)]
        results.push(consume(entry, { path: '/suggest/1', headers: { Model: `m0/${adapter}`, 'Token-Usage': '600,40', 'Prompt-Prefix': `${Math.random().toString(16).slice(2, 10)}:600` }, deadlineMs: 5000 }))
      }
      await sleep(25)
    }
  }
  const sending = send()
  await sleep(3000)
  let version = 1
  for (const until = performance.now() + 60_000; performance.now() < until;) {
    version += 1
    for (const adapter of adapters) {
      deployment.store.put('versions', `m0.${adapter}`, { model: 'm0', adapter, version })
      await sleep(400)
    }
  }
  traffic.stopped = true
  await sending
  const ended = await Promise.all(results)
  const runs = new Map()
  for (const { id, ran } of deployment.runners.flatMap(runner => runner.arrivals)) if (ran) runs.set(id, (runs.get(id) ?? 0) + 1)
  const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id)
  const told = new Map(ended.map(each => [each.id, each]))
  const refusedThoughRun = [...runs.keys()].filter(id => [429, 503].includes(told.get(id)?.status))
  const shares = engines.map(({ surplusAnswers, answers }) => surplusAnswers / answers)
  const answered = ended.filter(({ end, status }) => end === 'answered' && status === 200)
  record.write('judged', { sent: ended.length, answered: answered.length, surplus: engines.map(each => each.surplusAnswers), shares, twice, refusedThoughRun })
  await deployment.stop()
  console.log(`sent ${ended.length}, answered ${answered.length}, surplus answers ${engines.map(each => each.surplusAnswers)}, ran twice ${twice.length}, refused though run ${refusedThoughRun.length}`)
  if (shares.some(share => share > maxShare) || answered.length < ended.length / 2) return 2
  return twice.length > 0 || refusedThoughRun.length > 0 ? 1 : 0
})
