/**
 * All processes are killed while the store answers each call with 503, and start again before it serves. Later the operator adds
 * a route to a new service, whose workers have yet to load their model.
 */
import { fileURLToPath } from 'node:url'
import { encodeConfigurationRow } from '../../dist/src/platform/standinWire.js'
import { createEvenDraws } from '../../dist/src/standin/fleet/createEvenDraws.js'
import { startEndpointServer } from '../../dist/src/standin/fleet/endpointServer.js'
import { FleetCaller } from '../../dist/src/standin/fleet/fleetCaller.js'
import { FleetEngine } from '../../dist/src/standin/fleet/fleetEngine.js'
import { createConfiguration, engineService, fleetModel } from '../../dist/src/standin/fleet/startFleet.js'
import { Record } from '../lib/record.mjs'
import { exitWith, recordOrders, sleep, startSystem } from '../lib/system.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const [hostCount, engineCount, adapterSlots] = [4, 6, 18]
/** Few enough for all of them to stay loaded. */
const adapterCount = 12
const requestsPerSecond = 20
const newService = 'llm-2'
const newWorkers = 2
/** The model's load in the deployment takes 2.1 s. */
const modelLoadMs = 2100
/** Seconds after the first request. The store is down for 4.5 s, and the processes for 0.8 s. */
const times = { storeDown: 9, kill: 10, start: 10.8, storeBack: 13.5, newWorkers: 18, newRoute: 24, judged: 31, end: 50 }
/** The rule: so many requests on added routes, and the part of the service on the first ones. */
const [minRequests, minPart] = [20, 0.25]

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const { store, fleet, hosts, isReady, stop } = await startSystem({ hosts: hostCount, engines: engineCount, services: 1, adapterSlots, record })
const orders = recordOrders(fleet, record)
const caller = new FleetCaller()
const calls = []
const answered = []
const startedAtMs = performance.now()
const waitUntil = async seconds => await sleep(startedAtMs + seconds * 1000 - performance.now())

let result = 2
if (isReady) {
  changeConfiguration(2, false)
  const sending = sendRequests()
  await waitUntil(times.storeDown)
  setBusy(isTroubled)
  await waitUntil(times.kill)
  record.write('host', 'all processes are killed')
  for (let index = 1; index <= hostCount; index++) hosts.signal(index, 'SIGKILL')
  await waitUntil(times.start)
  for (let index = 1; index <= hostCount; index++) hosts.start(index)
  record.write('host', 'all processes start again')
  await waitUntil(times.storeBack)
  setBusy(false)
  await waitUntil(times.newWorkers)
  for (let number = 1; number <= newWorkers; number++) await startWorker(`new-${number}`)
  await waitUntil(times.newRoute)
  changeConfiguration(3, true)
  await waitUntil(times.end)
  await sending
  await Promise.all(calls)
  result = judge()
} else {
  record.print('not all hosts became ready')
}
await caller.close()
await stop()
record.close()
exitWith(result)

function setBusy (isBusy) {
  record.write('store', isBusy ? 'the store answers each call with 503' : 'the store serves')
  store.isBusy = isBusy
}

/** The first routes go to the workers that are there; the last one, to the new service, is added. */
function changeConfiguration (version, isAdded) {
  const base = createConfiguration(version, adapterSlots)
  const routes = base.routes.filter(({ name }) => name !== 'stream' || isAdded).map(route => route.name === 'stream' ? { ...route, targets: [{ service: newService, weight: 1 }] } : route)
  const services = isAdded ? new Map([...base.services, [newService, { ...base.services.get(engineService), name: newService }]]) : base.services
  store.write(encodeConfigurationRow({ ...base, routes, services }))
  record.write('operator', `configuration ${version} acknowledged: ${routes.map(({ name, targets }) => `${name} to ${targets[0].service}`).join(', ')}`)
}

/** A worker that starts without its model, and tells of itself as the others do. */
async function startWorker (id) {
  const engine = new FleetEngine({ id, model: fleetModel, adapterSlots, batchLimit: 16, coldLoadMs: 120, warmLoadMs: 12, reportLagMs: 100, eventMs: 15, modelLoadMs }, () => performance.now())
  const server = await startEndpointServer({ id, service: newService, listenAddress: '127.0.0.1:0', journal: fleet.journal, random: createEvenDraws(), engine, places: 6, workMs: 20 })
  const endpoint = { id, service: newService, zone: 'a', address: server.address, engine, server, isLeaving: false, softwareVersion: 'v1', isTelling: true }
  recordOrders({ engines: [endpoint] }, record, orders)
  fleet.endpoints.push(endpoint)
  record.write('worker', `${id} of ${newService} starts without its model`)
}

async function sendRequests () {
  for (let number = 0; performance.now() < startedAtMs + times.end * 1000; number++) {
    const sentAtS = (performance.now() - startedAtMs) / 1000
    const index = 1 + number % hostCount
    const kind = sentAtS > times.newRoute + 1 && Math.floor(number / hostCount) % 2 === 0 ? 'stream' : 'resumable'
    calls.push(caller.call({ kind, address: hosts.callersAddress(index), adapter: `a${1 + number % adapterCount}`, timeLeftMs: 4000, body: `question ${number}`, promptParts: `aa01:60,${number.toString(16)}:40` }).then(answer => {
      record.write('answer', `request ${answer.requestId} on ${kind} from host-${index}: status ${answer.status}${answer.error ? `, ${answer.error}` : ''} in ${answer.tookMs.toFixed(0)} ms ${answer.status === 503 ? answer.body : ''}`)
      answered.push({ kind, sentAtS, isServed: answer.status === 200 && answer.error === undefined })
    }))
    await sleep(1000 / requestsPerSecond)
  }
}

/** CONFIG: in steady state, 20 or more requests on added routes are served less than a quarter as often as those on the first. */
function judge () {
  const judged = answered.filter(({ sentAtS }) => sentAtS > times.judged)
  const [added, first] = ['stream', 'resumable'].map(kind => judged.filter(call => call.kind === kind))
  const [servedAdded, servedFirst] = [added, first].map(sent => sent.filter(({ isServed }) => isServed).length)
  const backAtMs = startedAtMs + times.storeBack * 1000
  record.print(`served later than ${times.judged - times.newRoute} s after the route was added: ${servedAdded} of ${added.length} on it, ${servedFirst} of ${first.length} on the first routes; orders to engines since the store serves: ${orders.filter(({ atMs }) => atMs > backAtMs).length}`)
  if (added.length < minRequests || servedFirst === 0) return 2
  const isBroken = servedAdded / added.length < minPart * servedFirst / first.length
  record.print(isBroken ? 'CONFIG is broken' : 'CONFIG holds')
  return isBroken ? 1 : 0
}
