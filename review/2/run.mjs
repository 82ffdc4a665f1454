/**
 * Workers hand out a wrong byte in some of their streams, in the id of an event. A host notices, but goes on with the stream
 * after the wrong id, so that its caller gets a stream with a gap that looks complete.
 */
import { fileURLToPath } from 'node:url'
import { countEvents } from '../../dist/src/standin/fleet/endpointServer.js'
import { FleetCaller, listEventIds, looksWhole } from '../../dist/src/standin/fleet/fleetCaller.js'
import { Record } from '../lib/record.mjs'
import { exitWith, sleep, startSystem } from '../lib/system.mjs'
import { TroubledRoute } from '../lib/troubledRoute.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const hostCount = 4
const adapterCount = 12
const requestsPerSecond = 40
const engineCount = 6
/** The dose of `garble` in the deployment: 0.35 of the workers, 0.02 of their answers, for 5.5 seconds; here again and again. */
const troubledEngines = Math.floor(engineCount * 0.35)
const [troubleS, pauseS, rounds] = [5.5, 1.5, 6]

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const routes = []
const openRoute = async (_id, address) => {
  const route = await TroubledRoute.start(address, record)
  routes.push(route)
  return route.address
}
const { fleet, hosts, isReady, stop } = await startSystem({ hosts: hostCount, engines: engineCount, services: 1, adapterSlots: 6, record, openRoute })
const caller = new FleetCaller()
const answers = []
/** Set when no further streams are to be sent. */
const ending = new AbortController()

let result = 2
if (isReady) {
  const sending = sendStreams()
  for (let round = 1; round <= rounds; round++) {
    await sleep(pauseS * 1000)
    setTrouble(isTroubled ? 'wrongByte' : undefined)
    await sleep(troubleS * 1000)
    setTrouble(undefined)
  }
  ending.abort()
  await sending
  result = judge()
} else {
  record.print('not all hosts became ready')
}
await caller.close()
await stop()
await Promise.all(routes.map(async route => await route.stop()))
record.close()
exitWith(result)

function setTrouble (trouble) {
  for (const route of routes.slice(0, troubledEngines)) route.trouble = trouble
  record.write('worker', trouble === undefined ? 'no engine is in trouble' : `${troubledEngines} engines of ${engineCount} are in trouble from now on`)
}

async function sendStreams () {
  const calls = []
  for (let number = 0; !ending.signal.aborted; number++) {
    const index = 1 + number % hostCount
    calls.push(caller.call({ kind: 'resumable', address: hosts.callersAddress(index), adapter: `a${1 + number % adapterCount}`, body: `question ${number}`, promptParts: `aa01:60,${number.toString(16)}:40` }).then(answer => {
      answers.push(answer)
      record.write('answer', `request ${answer.requestId} from host-${index}: status ${answer.status}${answer.error ? `, ${answer.error}` : ''}, events ${listEventIds(answer).join(' ')} of ${countEvents(answer.requestId)}`)
    }))
    await sleep(1000 / requestsPerSecond)
  }
  await Promise.all(calls)
}

/** ORDER: a piece is missing or comes twice, or the stream ends as complete before its last piece. */
function judge () {
  const streams = answers.filter(({ status }) => status === 200)
  const breaches = streams.filter(answer => {
    const ids = listEventIds(answer)
    const isInOrder = ids.every((id, index) => id === index + 1)
    return !isInOrder || (looksWhole(answer) && ids.length < countEvents(answer.requestId))
  })
  for (const answer of breaches) record.write('breach', `request ${answer.requestId}: events ${listEventIds(answer).join(' ')} of ${countEvents(answer.requestId)}, ${looksWhole(answer) ? 'ended as complete' : 'broken off'}`)
  const runs = breaches.length === 0 ? [] : fleet.journal.listRuns(breaches[0].requestId)
  record.print(`streams: ${streams.length} of ${answers.length} answers; with pieces missing or out of order: ${breaches.length}`)
  for (const { endpointId, fromEvent } of runs) record.print(`request ${breaches[0].requestId} ran at ${endpointId} after event ${fromEvent}`)
  if (breaches.length > 0) record.print(`its caller got events ${listEventIds(breaches[0]).join(' ')} of ${countEvents(breaches[0].requestId)}, ${looksWhole(breaches[0]) ? 'and a complete end' : 'and no end'}`)
  if (streams.length === 0) return 2
  record.print(breaches.length > 0 ? 'ORDER is broken' : 'ORDER holds')
  return breaches.length > 0 ? 1 : 0
}
