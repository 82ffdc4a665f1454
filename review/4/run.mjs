/**
 * A drill: the store is away for a second and comes back from a copy that is some seconds old. The operator changes the
 * configuration once shortly before and once shortly after; both changes are acknowledged, and the first is written again.
 */
import { fileURLToPath } from 'node:url'
import { plainService } from '../../dist/src/standin/fleet/startFleet.js'
import { FleetCaller } from '../../dist/src/standin/fleet/fleetCaller.js'
import { Probes, otherService } from '../lib/probes.mjs'
import { Record } from '../lib/record.mjs'
import { recordOrders, sleep, startSystem } from '../lib/system.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const hostCount = 4
const adapterCount = 40
const adapterSlots = 6
/** Bounds of the pages, in seconds: `configApplyMs`, and `partitionBoundMs` by which an unstable core stretches it. */
const [applyS, stretchS] = [2, 5]
/** Seconds after the first request. */
const times = { copy: 4, firstChange: 8.9, away: 9.2, back: 10.2, secondChange: 10.7, end: 26 }

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const system = await startSystem({ hosts: hostCount, engines: 3, services: 2, adapterSlots, record })
const { store, fleet, hosts } = system
await fleet.addEndpoint(otherService)
const orders = recordOrders(fleet, record)
const caller = new FleetCaller()
/** Plain routes by service, in the three configurations. */
const routes = [
  { moved: plainService, dropped: plainService },
  { moved: plainService, dropped: plainService, added: plainService },
  { moved: otherService, added: plainService, 'added-2': plainService }
]
const probes = new Probes({ store, fleet, hosts, caller, record, hostCount, adapterSlots })
let acknowledgedAtMs = Infinity
const startedAtMs = performance.now()
const waitUntil = async seconds => await sleep(startedAtMs + seconds * 1000 - performance.now())

let result = 2
if (system.isReady) {
  probes.changeConfiguration(2, routes[0])
  const sending = [sendStreams(), probes.send(['moved', 'dropped', 'added', 'added-2'], startedAtMs + times.end * 1000)]
  await waitUntil(times.copy)
  store.takeCopy()
  record.write('store', `the copy is taken at version ${store.version}`)
  await waitUntil(times.firstChange)
  probes.changeConfiguration(3, routes[1])
  await waitUntil(times.away)
  if (isTroubled) {
    store.goAway()
    record.write('store', `the store goes away at version ${store.version}`)
  }
  await waitUntil(times.back)
  if (isTroubled) {
    store.comeBack()
    record.write('store', `the store is back from its copy, era ${store.era}, version ${store.version}`)
  }
  await waitUntil(times.secondChange)
  acknowledgedAtMs = probes.changeConfiguration(4, routes[2])
  await waitUntil(times.end)
  await Promise.all(sending)
  result = judge()
} else {
  record.print('not all hosts became ready')
}
await caller.close()
await system.stop()
record.close()
process.exit(result)

async function sendStreams () {
  const calls = []
  for (let number = 0; performance.now() < startedAtMs + times.end * 1000; number++) {
    const address = hosts.callersAddress(1 + number % hostCount)
    calls.push(caller.call({ kind: 'resumable', address, adapter: `a${1 + Math.floor(Math.random() * adapterCount)}`, timeLeftMs: 4000, body: `question ${number}` }).then(answer => {
      record.write('answer', `stream ${answer.requestId} from ${address}: status ${answer.status} in ${answer.tookMs.toFixed(0)} ms`)
    }))
    await sleep(100)
  }
  await Promise.all(calls)
}

/** CONFIG: requests sent later than the bounds after the acknowledgement that are handled as only an older version allows. */
function judge () {
  const { due, breaches } = probes.judge(routes[2], acknowledgedAtMs + (applyS + stretchS) * 1000)
  record.print(`requests sent later than ${applyS + stretchS} s after the acknowledgement of configuration 4: ${due.length}; handled as only an older one allows: ${breaches.length}`)
  record.print(`orders to engines: ${orders.length}; later than 3 s after the return of the store: ${orders.filter(({ atMs }) => atMs > startedAtMs + (times.back + 3) * 1000).length}`)
  if (due.length < hostCount * 4) return 2
  for (const { host, route, status, service } of breaches.slice(-4)) record.print(`host-${host} /${route}/: status ${status}${service === undefined ? '' : `, run by ${service}`}`)
  record.print(breaches.length > 0 ? 'CONFIG is broken' : 'CONFIG holds')
  return breaches.length > 0 ? 1 : 0
}
