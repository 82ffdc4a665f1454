/** Runs a proxied request whose endpoint selection is still in progress. */
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { CallerTimeouts } from '../../src/core/callerTimeouts.js'
import { EndpointHealth } from '../../src/core/endpointHealth.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { InFlightRequests } from '../../src/core/inFlightRequests.js'
import { HostRetryBudget } from '../../src/core/hostRetryBudget.js'
import { createCrashRefusal } from '../../src/core/suspectRegistry.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { decodeAnswerHead, encodeRefusalHeaders, encodeRequestHeaders, removeAccountHeaders } from '../../src/platform/requestWire.js'
import { encodeConfigurationRow, encodeEndpointRow } from '../../src/platform/standinWire.js'
import type { OutgoingRequest, ResponseReceiver } from '../../src/ports/endpointLink.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import type { HostRow } from '../../src/schemas/hostRows.js'
import type { EndpointEntry, RoutingConfiguration } from '../../src/schemas/routing.js'
import { createConfiguration, engineService, fleetHost, fleetModel, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import { CallerResponse } from '../../src/tasks/proxy/callerResponse.js'
import type { ProxyContext } from '../../src/tasks/proxy/proxyContext.js'
import { ProxiedRequest } from '../../src/tasks/proxy/proxiedRequest.js'
import type { EndpointQuery, EndpointSelection } from '../../src/tasks/proxy/endpointSelector.js'

export interface WaitingRequest {
  /** Changes the entry of the endpoint that the selection finishes with; undefined removes it. */
  /** Puts a configuration with these client accounts in force. */
  changeAccounts: (accounts: RoutingConfiguration['accounts']) => void
  /** Requests that were passed to the link of an endpoint or of another host. */
  listSent: () => readonly OutgoingRequest[]
  /** Status that the caller has now; 0 if none. */
  readStatus: () => number
  /** The selection that is in progress or was last. */
  getLastQuery: () => EndpointQuery
  changeEndpoint: (change: Partial<EndpointEntry> | undefined) => void
  /** Lets the selection finish with an endpoint, which does not answer. */
  send: () => Promise<void>
  /** The connection that the request was given is open now; returns whether the request is written to it. */
  openConnection: () => boolean
  /** Refuses the request's fingerprint from now on, then lets the selection finish with an endpoint. */
  refuseContent: () => Promise<void>
  /** `status`: response status that the caller got before the selection finished; 0 if none. */
  read: () => { status: number, sends: number, cancels: number }
}

export interface WaitingRequestOptions {
  /** Changes of the caller's request. */
  changes?: Partial<CallerRequest>
  accounts?: RoutingConfiguration['accounts']
  /** Whether the host reaches no endpoint, so that it sends the request through another one. */
  isStranded?: boolean
}

const engine: EndpointEntry = {
  id: 'i-1', service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 16, softwareVersion: '', startedAtMs: 1, models: [], orderCount: 0
}
const peerRow = { host: 'host-2', session: 's2' } as unknown as HostRow
/** The proxy responds within the same turn of the event loop and has done everything else a few turns later. */
const settleMs = 20

const steadySuspects = { isSuspect: () => false, hasSuspectPart: () => false, tryBeginTrial: () => false, cancelTrial: () => {}, recordServed: () => {}, recordBegun: () => {} }
/** Parts that do the same whatever the request does. */
const steadyParts = {
  notices: { isAcceptingRequests: () => true } as unknown as ProxyContext['notices'],
  noticeTask: { recordSend: () => {} } as unknown as ProxyContext['noticeTask'],
  streamOrigins: { recordBegun: () => {}, recordEnded: () => {}, resolve: async () => ({ kind: 'unknown' as const, reason: 'no stream is taken up here', retryAfterMs: undefined }) },
  shutdown: { endsAtMs: Infinity, canComplete: () => true, recordServed: () => {} },
  standstill: { countStandstills: () => 0, isCatchingUp: () => false, waitForCloses: async () => {} },
  random: () => 0,
  encodeRequestHeaders,
  decodeAnswerHead,
  encodeRefusalHeaders,
  removeAccountHeaders
}

export async function startWaitingRequest ({ changes = {}, accounts, isStranded = false }: WaitingRequestOptions = {}): Promise<WaitingRequest> {
  const clock = createSystemClock()
  let status = 0
  let statusBeforeSelection = 0
  let requestFingerprint = ''
  const sent: OutgoingRequest[] = []
  let configurationVersion = 1
  let lastQuery: EndpointQuery | undefined
  let cancelCount = 0
  let isRefused = false
  let receiver: ResponseReceiver | undefined
  let resolveSelection = (_selection: EndpointSelection): void => {}
  const clusterView = new ClusterView(decodePlatformRow)
  const writeConfiguration = (written: RoutingConfiguration['accounts']): void => {
    const version = configurationVersion++
    clusterView.applyRow({ ...encodeConfigurationRow({ ...createConfiguration(version, 4), accounts: written }), version }, clock.readMonotonic())
  }
  writeConfiguration(accounts)
  const { table, key, value } = encodeEndpointRow(engine)
  clusterView.applyRow({ table, key, value, version: 2 }, clock.readMonotonic())
  const inFlightRequests = new InFlightRequests()
  const activity = { lastContactAtMs: 0, waitingSinceMs: undefined, connectFailingSinceMs: undefined }
  const link = { busy: 0, hasRoom: true, activity, giveUpSilent: () => {}, close: () => {}, send: (request: OutgoingRequest, sender: ResponseReceiver) => { sent.push(request); receiver = sender; return { cancel: () => { cancelCount++ }, resume: () => {} } }, probe: async () => 'open' as const }
  const response = Object.assign(new EventEmitter(), {
    headersSent: false, writeHead: (written: number) => { status = written }, end: () => {}, destroy: () => {}
  })
  const context = {
    clock,
    log: { record: () => {} },
    clusterView,
    health: new EndpointHealth(),
    retryBudget: new HostRetryBudget({ retryRatio: 0.2, extraRetries: 10, windowMs: 1000, countHosts: () => 1 }),
    endpointSelector: {
      selectEndpoint: async (query: EndpointQuery) => await new Promise<EndpointSelection>(resolve => {
        lastQuery = query
        resolveSelection = resolve
      })
    } as unknown as ProxyContext['endpointSelector'],
    callerTimeouts: new CallerTimeouts(),
    suspects: {
      findRefusal: (fingerprint: string) => {
        requestFingerprint = fingerprint
        return isRefused ? createCrashRefusal(3) : undefined
      },
      ...steadySuspects
    },
    inFlightRequests,
    ...steadyParts,
    forwarder: { isStranded: () => isStranded, selectPeer: () => ({ row: peerRow, link }), recordFailure: () => {}, recordResponse: () => {} }
  } satisfies Partial<ProxyContext> as unknown as ProxyContext
  const callerRequest: CallerRequest = {
    requestId: 'r1', method: 'POST', callerKey: '', path: `${fleetPaths.stream}x`, host: fleetHost, headers: [], body: Buffer.from('a question'), receivedAtMs: clock.readMonotonic(), timeLeftMs: 4000, lastEventId: undefined, isResumption: false, resumedRequestId: undefined, model: fleetModel, adapter: 'a1', promptTokens: 100, maxTokens: 20, promptSegments: [], ...changes
  }
  const request = new ProxiedRequest(context, callerRequest, new CallerResponse({ response: response as unknown as ServerResponse, onCallerDisconnect: () => {}, decideClose: () => false, isDraining: () => false, isCallerUncertain: () => false, waitUntilCallerKnown: async () => {}, holdUnread: () => {} }))
  request.serve()
  const finishSelection = async (): Promise<void> => {
    resolveSelection({ kind: 'found', target: { endpoint: engine, link, version: 0, priority: undefined, isGranted: true, release: () => {} } })
    await sleep(settleMs)
  }
  return {
    changeAccounts: changed => {
      writeConfiguration(changed)
      inFlightRequests.notifyConfiguration()
    },
    listSent: () => sent,
    readStatus: () => status,
    getLastQuery: () => lastQuery!,
    changeEndpoint: change => clusterView.applyRow({ table, key, value: change && encodeEndpointRow({ ...engine, ...change }).value, version: 3 }, clock.readMonotonic()),
    send: finishSelection,
    openConnection: () => receiver!.confirmSend(),
    refuseContent: async () => {
      isRefused = true
      inFlightRequests.refuse(requestFingerprint)
      statusBeforeSelection = status
      await finishSelection()
    },
    read: () => ({ status: statusBeforeSelection, sends: sent.length, cancels: cancelCount })
  }
}
