/** Two of three hosts lose the store and the third host. They go on with streams that an endpoint of another software version began. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { encodeResumptionHeaders } from '../../dist/src/platform/standinWire.js'
import { createEvenDraws } from '../../dist/src/standin/fleet/createEvenDraws.js'
import { createRequestId, FleetCaller, listEventIds } from '../../dist/src/standin/fleet/fleetCaller.js'
import { RowStore } from '../../dist/src/standin/fleet/rowStore.js'
import { defaultFleetOptions, engineService, Fleet } from '../../dist/src/standin/fleet/startFleet.js'
import { Hosts, wait } from '../lib-2/hosts.mjs'
import { Links } from '../lib-2/links.mjs'
import { PagedStore } from '../lib-2/pagedStore.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const hostCount = 3
const connectedHost = 3
const newEngines = 3
const eventMs = 200
const callerCount = 32
/** From the new endpoints' entries to the streams, so that host 3 uses them. */
const settlingMs = 5000
/** The rule allows this many streams. */
const allowedStreams = 2

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ isTroubled, record, addCleanup }) => {
  const rows = new RowStore()
  const stores = []
  const hosts = new Hosts(index => stores[index - 1].address)
  addCleanup(async () => await hosts.stop())
  const indexes = Array.from({ length: hostCount }, (_, index) => index + 1)
  const places = []
  for (const index of indexes) places.push(await hosts.findPlace(index))
  const links = new Links(places)
  await links.open()
  addCleanup(() => links.close())
  for (const index of indexes) {
    stores.push(new PagedStore(rows, row => links.rewrite(index, row)))
    await stores.at(-1).start()
    addCleanup(async () => await stores[index - 1].stop())
  }
  const fleet = new Fleet({ ...defaultFleetOptions, services: 1, random: createEvenDraws(), heartbeatMs: 1200 }, rows, { stop: async () => {} })
  await fleet.start()
  addCleanup(async () => await fleet.stop())
  for (const { engine, server } of fleet.endpoints) if (engine) server.setFaults({ eventMs })
  for (const index of indexes) await hosts.start(index)
  for (const host of hosts.list) await hosts.waitUntilReady(host)
  await wait(4000)
  const callers = openCallers(hosts.list[connectedHost - 1])
  addCleanup(async () => await Promise.all(callers.map(async ({ caller }) => await caller.close())))
  await wait(2000)

  if (isTroubled) {
    for (const index of indexes) {
      if (index === connectedHost) continue
      links.cut(index, connectedHost)
      stores[index - 1].isCut = true
    }
    record('hosts 1 and 2 have lost the store and host 3')
  }
  await wait(1000)
  for (let index = 0; index < newEngines; index++) {
    const { id, server } = await fleet.addEndpoint(engineService, 0, 'v2')
    server.setFaults({ eventMs })
    record(`engine ${id} of software version v2 has registered`)
  }
  await wait(settlingMs)
  const mixed = await takeUpStreams(callers, { fleet, hosts, isTroubled, record })
  return mixed.length > allowedStreams ? [`ORDER: ${mixed.length} streams hold events of two software versions: ${mixed.join('; ')}`] : []
})

/** Callers that ask for one stream after the other, each on its kept connection. */
function openCallers (host) {
  return Array.from({ length: callerCount }, () => {
    const state = { caller: new FleetCaller(), requestId: '', last: undefined, isOver: false }
    const run = async () => {
      do {
        state.requestId = createRequestId()
        state.last = await state.caller.call({ kind: 'resumable', address: host.settings.callersAddress, requestId: state.requestId })
      } while (!state.isOver && state.last.error === undefined)
    }
    state.ended = run()
    return state
  })
}

/** Ends the process of host 3, and takes the streams up at hosts 1 and 2. Returns those that hold events of two software versions. */
async function takeUpStreams (callers, { fleet, hosts, isTroubled, record }) {
  for (const state of callers) state.isOver = true
  if (isTroubled) {
    hosts.list[connectedHost - 1].child.kill('SIGKILL')
    record('host 3 was killed')
  }
  const describeRuns = id => fleet.journal.listRuns(id).map(({ endpointId, fromEvent }) => ({ endpointId, fromEvent, version: fleet.softwareVersions.get(endpointId) }))
  const mixed = []
  await Promise.all(callers.map(async (state, index) => {
    await state.ended
    const { requestId, last } = state
    const ids = listEventIds(last)
    record(`stream ${requestId} at host 3: status ${last.status}, events ${ids.join(',')}, ${last.error ?? 'whole'}, runs ${JSON.stringify(describeRuns(requestId))}`)
    if (last.error === undefined || ids.length === 0) return
    const host = hosts.list[index % (connectedHost - 1)]
    const resumed = await state.caller.call({ kind: 'resumable', address: host.settings.callersAddress, headers: encodeResumptionHeaders(requestId, ids.at(-1)) })
    const resumedIds = listEventIds(resumed)
    record(`  taken up at host ${host.index} as ${resumed.requestId}: status ${resumed.status}, events ${resumedIds.join(',')}, runs ${JSON.stringify(describeRuns(resumed.requestId))}`)
    // Only where each try has one run is it certain which worker its events are from.
    const [first, second] = [describeRuns(requestId), describeRuns(resumed.requestId)]
    if (resumedIds.length === 0 || first.length !== 1 || second.length !== 1) return
    if (first[0].version !== second[0].version) mixed.push(`${requestId} (${first[0].version}, ${second[0].version})`)
  }))
  for (const host of hosts.list) for (const line of hosts.readLog(host).filter(({ kind }) => kind === 'stream.versionsAsked')) record(`log of host ${host.index}: ${JSON.stringify(line)}`)
  return mixed
}
