/** The server side of the platform's messages, for stand-ins: what the store and the endpoints receive and send. */
import { Type } from '@sinclair/typebox'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../ports/store.js'
import type { EngineOrder, EngineState, OrderHolder } from '../ports/engineOrders.js'
import { createParser } from '../schemas/createParser.js'
import type { EndpointLoad } from '../schemas/callerRequest.js'
import type { AdapterVersion, ClientAccount, EndpointEntry, LoadedModel, Route, RoutingConfiguration, ServiceSpec } from '../schemas/routing.js'
import { configurationKey, credentialsHeader, endpointsTable, operatorsTable, versionKeyPrefix, wireHeaders } from './wireNames.js'

const rowNameSchema = Type.Object({ table: Type.String(), key: Type.String() })
const parseTransaction = createParser(Type.Object({
  precondition: Type.Optional(Type.Array(Type.Composite([rowNameSchema, Type.Object({ ver: Type.Number() })]))),
  writes: Type.Optional(Type.Array(Type.Composite([rowNameSchema, Type.Object({ value: Type.String() })]))),
  remove: Type.Optional(Type.Array(rowNameSchema))
}))
const parseOrder = createParser(Type.Object({
  operation: Type.Union([Type.Literal('load'), Type.Literal('unload')]),
  model: Type.String(),
  adapter: Type.Optional(Type.String()),
  version: Type.Optional(Type.Number()),
  precondition: Type.Optional(Type.Number()),
  holder: Type.String(),
  fencingToken: Type.Number()
}))

export function decodeTransaction (body: string): StoreTransaction {
  const { precondition = [], writes = [], remove = [] } = parseTransaction(JSON.parse(body))
  return {
    checks: precondition.map(({ table, key, ver }) => ({ table, key, version: ver })),
    writes: writes.map(({ table, key, value }) => ({ table, key, value: Buffer.from(value, 'base64') })),
    removals: remove
  }
}

export function encodeStoreRow ({ table, key, version, value }: StoreRow): unknown {
  return value === undefined
    ? { table, part: '', key, ver: version, deleted: true }
    : { table, part: '', key, ver: version, value: Buffer.from(value).toString('base64') }
}

export function encodeStoreRows (rows: readonly StoreRow[], version: number): string {
  return JSON.stringify({ rows: rows.map(encodeStoreRow), hasMore: false, ver: version, nowMs: 0 })
}

/** Encodes the status and body of the response to a transaction. */
export function encodeTransactionOutcome (outcome: StoreOutcome, version: number): { status: number, body: string } {
  if (outcome.verdict === 'applied') return { status: 200, body: JSON.stringify({ ver: outcome.version, nowMs: 0 }) }
  const rows = outcome.verdict === 'conflict' ? outcome.rows.map(encodeStoreRow) : []
  return { status: 412, body: JSON.stringify({ rows, ver: version, nowMs: 0 }) }
}

export function decodeEngineOrder (body: string): { order: EngineOrder, holder: OrderHolder } {
  const { operation, model, adapter, version, precondition, holder, fencingToken } = parseOrder(JSON.parse(body))
  return { order: { kind: operation, model, adapter, version, expectedCount: precondition }, holder: { host: holder, fencing: fencingToken } }
}

export function encodeEngineReport (state: EngineState): string {
  return JSON.stringify({
    stage: 'both',
    born: state.startedAtMs,
    models: encodeModels(state.models),
    busy: state.isBusy,
    sequence: state.orderCount,
    waiting: state.waiting,
    running: state.running,
    coming: state.loading.map(({ model, name, version }) => `${model}/${name}@${version}`)
  })
}

function encodeModels (models: readonly LoadedModel[]): unknown {
  return models.map(({ name, version, adapters }) => ({ name, version, adapters: adapters.map(adapter => `${adapter.name}@${adapter.version}`) }))
}

/** Encodes the row with which an endpoint registers itself. */
export function encodeEndpointRow (entry: EndpointEntry): { table: string, key: string, value: Uint8Array } {
  const { service, address, zone, places, isLeaving, goneInMs, softwareVersion, startedAtMs, models, orderCount } = entry
  const body = {
    service, address, zone, version: softwareVersion === '' ? undefined : softwareVersion, slots: places, state: isLeaving ? 'draining' : 'ready', remainingMs: goneInMs, born: startedAtMs === 0 ? undefined : startedAtMs, models: encodeModels(models), sequence: orderCount
  }
  return { table: endpointsTable, key: entry.id, value: Buffer.from(JSON.stringify(body)) }
}

const routeKindNames = Object.freeze({ idempotent: 'idempotent', once: 'non_idempotent', stream: 'streaming' })

export function encodeConfigurationRow (configuration: RoutingConfiguration): { table: string, key: string, value: Uint8Array } {
  const body = {
    version: configuration.version,
    routes: configuration.routes.map(encodeRoute),
    services: [...configuration.services.values()].map(encodeService),
    limits: configuration.limits,
    ...(configuration.accounts && { tenants: configuration.accounts.map(encodeAccount) })
  }
  return { table: operatorsTable, key: configurationKey, value: Buffer.from(JSON.stringify(body)) }
}

function encodeAccount ({ name, keys, rank, quota }: ClientAccount): unknown {
  return { name, apiKeys: keys, priority: rank, ...(quota && { unit: quota.unit, plainTokens: quota.plainTokens, ratePerS: quota.perSecond, burst: quota.burst }) }
}

function encodeRoute (route: Route): unknown {
  const { name, hostname, prefix, kind, isResumable, timeoutMs, targetMs, maxGapMs, rank, isPublic, maxAttempts, targets } = route
  return { name, hostname, prefix, routeKind: routeKindNames[kind], resumable: isResumable, timeoutMs, targetLatencyMs: targetMs, targetGapMs: maxGapMs, priority: rank, public: isPublic, maxAttempts, trafficSplit: targets }
}

function encodeService ({ name, maxConnections, engine }: ServiceSpec): unknown {
  if (!engine) return { name, maxConnections }
  const { batchLimit, cacheTokens, adapterSlots, weightsMb, loadsPerSecond, tokensPerEvent, models } = engine
  return {
    name,
    maxConnections,
    engine: {
      slots: batchLimit,
      kvCacheTokens: cacheTokens,
      adapterSlotCount: adapterSlots,
      weightsMb,
      loadsPerS: loadsPerSecond,
      stride: tokensPerEvent,
      models: models.map(model => ({ name: model.name, weightsMb: model.weightsMb, adapterMb: model.adapterMb, loadTimeS: model.loadMs / 1000 }))
    }
  }
}

export function encodeAdapterVersionRow ({ model, adapter, version }: AdapterVersion): { table: string, key: string, value: Uint8Array } {
  return { table: operatorsTable, key: `${versionKeyPrefix}${model}.${adapter}`, value: Buffer.from(JSON.stringify({ model, adapter, version })) }
}

/** Header values that an endpoint reads from a request that a host relays. */
export interface ReceivedHeaders {
  requestId: string | undefined
  endpointId: string | undefined
  timeLeftMs: number
  version: number | undefined
  model: string
  adapter: string
  lastEventId: number
  /** Ids of the prompt parts without the last one, with leading zeros removed and in lower case. */
  sharedParts: string[]
  account: string | undefined
  /** Whether a caller's key came along. */
  hasCredentials: boolean
}

export function decodeReceivedHeaders (headers: Record<string, string | string[] | undefined>): ReceivedHeaders {
  const getHeader = (name: string): string | undefined => {
    const value = headers[name]
    return Array.isArray(value) ? value[0] : value
  }
  const modelName = getHeader(wireHeaders.model) ?? ''
  const slash = modelName.indexOf('/')
  const version = getHeader(wireHeaders.expectVersion)
  return {
    requestId: getHeader(wireHeaders.requestId),
    endpointId: getHeader(wireHeaders.expectEndpoint),
    timeLeftMs: Number(getHeader(wireHeaders.timeLeftMs) ?? 0),
    version: version === undefined ? undefined : Number(version),
    model: slash < 0 ? modelName : modelName.slice(0, slash),
    adapter: slash < 0 ? '' : modelName.slice(slash + 1),
    lastEventId: Number(getHeader(wireHeaders.lastEventId) ?? 0),
    account: getHeader(wireHeaders.account),
    hasCredentials: headers[credentialsHeader] !== undefined,
    sharedParts: (getHeader(wireHeaders.promptParts) ?? '').split(',').slice(0, -1).map(part => part.split(':')[0]!.trim().toLowerCase().replace(/^0+(?=.)/, ''))
  }
}

/** Encodes the headers of an endpoint's response: a signature, or the guarantee that the request was not executed. */
export function encodeEndpointResponseHeaders (requestId: string, signature: string | undefined, { isLeaving = false, retryAfter = '', limit = '', brittle = '', load }: ResponseNotices = {}): Record<string, string> {
  return {
    [wireHeaders.requestId]: requestId,
    ...(signature === undefined ? { [wireHeaders.notRun]: '1' } : { [wireHeaders.signature]: signature }),
    ...(isLeaving && { [wireHeaders.leaving]: '1' }),
    ...(retryAfter !== '' && { [wireHeaders.retryAfter]: retryAfter }),
    ...(limit !== '' && { [wireHeaders.limit]: limit }),
    ...(brittle !== '' && { [wireHeaders.brittle]: brittle }),
    ...(load && { [wireHeaders.load]: encodeLoad(load) })
  }
}

/** Notices about itself that an endpoint sends with a response. */
export interface ResponseNotices {
  isLeaving?: boolean
  /** Empty string for none. */
  retryAfter?: string
  /** Requests a second that it takes; empty string for no limit. */
  limit?: string
  /** Rejections a second that it bears; empty string for one that is not brittle. */
  brittle?: string
  /** Absent for an endpoint that does not report its load. */
  load?: EndpointLoad | undefined
}

function encodeLoad ({ running, waiting, places, slowness }: EndpointLoad): string {
  return [running, waiting, places, ...(slowness === undefined ? [] : [Math.round(slowness * 100)])].join(',')
}

/** Encodes the headers of a caller's request, for load generators and tests. */
export function encodeCallerRequestHeaders (request: { requestId: string, host: string, timeLeftMs: number, model?: string, promptTokens?: number, maxTokens?: number, promptParts?: string }): Record<string, string> {
  const headers: Record<string, string> = { host: request.host, [wireHeaders.requestId]: request.requestId, [wireHeaders.timeLeftMs]: String(request.timeLeftMs) }
  if (request.model !== undefined) {
    headers[wireHeaders.model] = request.model
    headers[wireHeaders.tokens] = `${request.promptTokens ?? 100},${request.maxTokens ?? 20}`
    headers[wireHeaders.promptParts] = request.promptParts ?? `aa01:${request.promptTokens ?? 100}`
  }
  return headers
}

/**
 * Encodes the headers with which a caller takes a stream up after an event; `requestId` names the request that brought the first one.
 *
 * @example
 * encodeResumptionHeaders('9c41d07be2a35f68', 12)
 */
export function encodeResumptionHeaders (requestId: string, lastEventId: number): Record<string, string> {
  return { [wireHeaders.resumes]: requestId, [wireHeaders.lastEventId]: String(lastEventId) }
}

/** Decodes the request id, signature and retry delay of a response, for checks of what callers receive. */
export function decodeResponseHeaders (headers: Record<string, string | string[] | undefined>): { requestId: string | undefined, signature: string | undefined, retryAfterS: number | undefined } {
  const getHeader = (name: string): string | undefined => {
    const value = headers[name]
    return Array.isArray(value) ? value[0] : value
  }
  const retryAfter = getHeader(wireHeaders.retryAfter)
  return { requestId: getHeader(wireHeaders.requestId), signature: getHeader(wireHeaders.signature), retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter) }
}
