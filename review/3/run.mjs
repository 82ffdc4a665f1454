/**
 * A drill during a planned restart: the store is away for a second and comes back from a copy that was made some seconds
 * before. In these seconds the engines of host 1, which is being restarted, had passed to other hosts.
 */
import { fileURLToPath } from 'node:url'
import { FleetCaller } from '../../dist/src/standin/fleet/fleetCaller.js'
import { Record } from '../lib/record.mjs'
import { exitWith, recordOrders, sleep, startSystem } from '../lib/system.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const hostCount = 4
const adapterCount = 60
const requestsPerSecond = 30
/** Time that the platform leaves between the end of a process and its next start. */
const restartMs = 200
/** Seconds after the first request. */
const times = { copy: 4, stop: 7.5, away: 9.3, back: 10.3, end: 18 }

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const { store, fleet, hosts, isReady, stop } = await startSystem({ hosts: hostCount, engines: 6, services: 1, adapterSlots: 6, record, seedIndexes: [1, 11, 12] })
const orders = recordOrders(fleet, record)
const caller = new FleetCaller()
const calls = []
let isRestarting = false
const startedAtMs = performance.now()
const waitUntil = async seconds => await sleep(startedAtMs + seconds * 1000 - performance.now())

let result = 2
if (isReady) {
  const sending = sendRequests()
  const restarting = restartHost()
  await waitUntil(times.copy)
  store.takeCopy()
  record.write('store', `the copy is taken at version ${store.version}`)
  await waitUntil(times.away)
  disturb('goes away', () => store.goAway())
  await waitUntil(times.back)
  disturb('is back from its copy', () => store.comeBack())
  await waitUntil(times.end)
  await restarting
  await sending
  result = judge(await Promise.all(calls))
} else {
  record.print('not all hosts became ready')
}
await caller.close()
await stop()
record.close()
exitWith(result)

function disturb (text, apply) {
  if (!isTroubled) return
  record.write('store', `the store ${text}; its version before is ${store.version}`)
  apply()
  record.write('store', `era ${store.era}, version ${store.version}`)
}

/** The planned restart of host 1. */
async function restartHost () {
  await waitUntil(times.stop)
  isRestarting = true
  record.write('host', 'SIGTERM to host-1')
  hosts.signal(1, 'SIGTERM')
  await hosts.waitForEnd(1)
  record.write('host', 'host-1 has ended')
  await sleep(restartMs)
  hosts.start(1)
  record.write('host', 'host-1 starts again')
  await hosts.waitUntilReady(1)
  isRestarting = false
}

async function sendRequests () {
  for (let number = 0; performance.now() < startedAtMs + times.end * 1000; number++) {
    const index = 1 + number % hostCount
    if (index !== 1 || !isRestarting) {
      calls.push(caller.call({ kind: 'resumable', address: hosts.callersAddress(index), adapter: `a${1 + Math.floor(Math.random() * adapterCount)}`, timeLeftMs: 4000, body: `question ${number}` }).then(answer => {
        record.write('answer', `request ${answer.requestId} from host-${index}: status ${answer.status}${answer.error ? `, ${answer.error}` : ''} in ${answer.tookMs.toFixed(0)} ms`)
        return answer
      }))
    }
    await sleep(1000 / requestsPerSecond)
  }
}

/** ONE: two holders with one fencing token, or a lower token after a higher one, at one worker since its start. */
function judge (answers) {
  const breaches = []
  const highest = new Map()
  const holders = new Map()
  for (const { worker, life, holder, token, atMs } of orders) {
    const key = `${worker} ${life}`
    const top = highest.get(key)
    if (top && token < top.token) breaches.push(`worker ${worker}: ${holder} ordered with token ${token}, ${(atMs - top.atMs).toFixed(0)} ms after ${top.holder} with ${top.token}`)
    if (!top || token >= top.token) highest.set(key, { token, holder, atMs })
    const other = holders.get(`${key} ${token}`)
    if (other !== undefined && other !== holder) breaches.push(`worker ${worker}: ${holder} and ${other} both ordered with token ${token}`)
    holders.set(`${key} ${token}`, holder)
  }
  record.print(`orders: ${orders.length}; answers: ${answers.length}, with success: ${answers.filter(({ status }) => status === 200).length}`)
  for (const breach of breaches) record.write('breach', breach)
  for (const breach of breaches.slice(0, 5)) process.stdout.write(`${breach}\n`)
  record.print(breaches.length > 0 ? `ONE is broken: ${breaches.length} orders` : 'ONE holds')
  return breaches.length > 0 ? 1 : 0
}
