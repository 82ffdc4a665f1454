/** One request of a front whose search for a place is still going on. */
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { CallerWaits } from '../../src/core/callerWaits.js'
import { EndpointHealth } from '../../src/core/endpointHealth.js'
import { NewsBoard } from '../../src/core/newsBoard.js'
import { OpenContents } from '../../src/core/openContents.js'
import { SendBudget } from '../../src/core/sendBudget.js'
import { createCrashRefusal } from '../../src/core/suspects.js'
import { decodePlatformRow } from '../../src/platform/decodeNews.js'
import { decodeAnswerHead, encodeRefusalHeaders, encodeRequestHeaders } from '../../src/platform/requestWire.js'
import { encodeConfigurationRow } from '../../src/platform/standinWire.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import type { EndpointEntry } from '../../src/schemas/routing.js'
import { createConfiguration, engineService, fleetHost, fleetModel, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import { CallerAnswer } from '../../src/tasks/front/callerAnswer.js'
import type { FrontContext } from '../../src/tasks/front/frontContext.js'
import { FrontRequest } from '../../src/tasks/front/frontRequest.js'
import type { FoundTarget } from '../../src/tasks/front/targetFinder.js'

export interface WaitingRequest {
  /** Its content is refused from now on; the search then finds a place. */
  refuseContent: () => Promise<void>
  /** `status`: what the caller was told before the search found a place; 0 for nothing. */
  read: () => { status: number, sends: number }
}

const engine: EndpointEntry = {
  id: 'i-1', service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 16, startedAtMs: 1, models: [], orderCount: 0
}
/** The front answers within the same turn; a few turns later it has done all that it does. */
const settleMs = 20

export async function startWaitingRequest (): Promise<WaitingRequest> {
  const clock = createSystemClock()
  let status = 0
  let statusBeforePlace = 0
  let content = ''
  let sends = 0
  let isRefused = false
  let settleSearch = (_found: FoundTarget): void => {}
  const board = new NewsBoard(decodePlatformRow)
  board.applyRow({ ...encodeConfigurationRow(createConfiguration(1, 4)), version: 1 }, clock.readMonotonic())
  const openContents = new OpenContents()
  const response = Object.assign(new EventEmitter(), {
    headersSent: false, writeHead: (written: number) => { status = written }, end: () => {}, destroy: () => {}
  })
  const context = {
    clock,
    log: { record: () => {} },
    board,
    health: new EndpointHealth(),
    budget: new SendBudget({ share: 0.2, extra: 10, windowMs: 1000, countHosts: () => 1 }),
    targets: { findTarget: async () => await new Promise<FoundTarget>(resolve => { settleSearch = resolve }) },
    waits: new CallerWaits(),
    suspects: {
      findRefusal: (fingerprint: string) => {
        content = fingerprint
        return isRefused ? createCrashRefusal(3) : undefined
      }
    },
    openContents,
    random: () => 0,
    encodeRequestHeaders,
    decodeAnswerHead,
    encodeRefusalHeaders
  } as unknown as FrontContext
  const served: CallerRequest = {
    requestId: 'r1', method: 'POST', callerKey: '', path: `${fleetPaths.stream}x`, host: fleetHost, headers: [], body: Buffer.from('a question'), receivedAtMs: clock.readMonotonic(), timeLeftMs: 4000, lastEventId: undefined, model: fleetModel, adapter: 'a1', promptTokens: 100, maxTokens: 20, promptParts: []
  }
  const request = new FrontRequest(context, served, new CallerAnswer(response as unknown as ServerResponse, () => {}))
  request.serve()
  const link = { busy: 0, hasRoom: true, close: () => {}, send: () => { sends++; return { cancel: () => {}, resume: () => {} } }, probe: async () => 'open' as const }
  return {
    refuseContent: async () => {
      isRefused = true
      openContents.refuse(content)
      statusBeforePlace = status
      settleSearch({ kind: 'found', target: { endpoint: engine, link, version: 0, priority: undefined, end: () => {} } })
      await sleep(settleMs)
    },
    read: () => ({ status: statusBeforePlace, sends })
  }
}
