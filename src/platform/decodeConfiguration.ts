/** Decodes the operators' rows: the configuration and new versions of adapters. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { AdapterVersion, EngineShape, Route, RouteKind, RoutingConfiguration, ServiceShape } from '../schemas/routing.js'
import { decodeJson } from './decodeJson.js'

const routeSchema = Type.Object({
  name: Type.String(),
  hostname: Type.String(),
  prefix: Type.String(),
  routeKind: Type.String(),
  timeoutMs: Type.Optional(Type.Number()),
  targetLatencyMs: Type.Optional(Type.Number()),
  targetGapMs: Type.Optional(Type.Number()),
  priority: Type.Optional(Type.Number()),
  service: Type.Optional(Type.String()),
  trafficSplit: Type.Optional(Type.Array(Type.Object({ service: Type.String(), weight: Type.Number() }))),
  maxAttempts: Type.Optional(Type.Number()),
  resumable: Type.Optional(Type.Boolean())
})

const engineSchema = Type.Object({
  slots: Type.Number(),
  kvCacheTokens: Type.Optional(Type.Number()),
  adapterSlotCount: Type.Optional(Type.Number()),
  weightsMb: Type.Optional(Type.Number()),
  loadsPerS: Type.Optional(Type.Number()),
  stride: Type.Optional(Type.Number()),
  models: Type.Optional(Type.Array(Type.Object({
    name: Type.String(),
    weightsMb: Type.Optional(Type.Number()),
    adapterMb: Type.Optional(Type.Number()),
    loadTimeS: Type.Optional(Type.Number())
  })))
})

const configurationSchema = Type.Object({
  version: Type.Number(),
  routes: Type.Array(routeSchema),
  services: Type.Array(Type.Object({
    name: Type.String(),
    maxConnections: Type.Optional(Type.Number()),
    engine: Type.Optional(engineSchema)
  })),
  limits: Type.Object({
    maxHeaderBytes: Type.Number(),
    maxBodyBytes: Type.Number(),
    headerTimeoutMs: Type.Number(),
    idleTimeoutMs: Type.Number()
  })
})

const versionSchema = Type.Object({ model: Type.String(), adapter: Type.String(), version: Type.Number() })

const configurationCheck = TypeCompiler.Compile(configurationSchema)
const versionCheck = TypeCompiler.Compile(versionSchema)

/** Used where a route names no time of its own; the longest of the published routes. */
const defaultTimeoutMs = 12_000
/** Used where a route names no target; the published routes all do. */
const defaultTargetMs = 1000
/** Used where a service names no cap on connections; the smallest of the published ones. */
const defaultMaxConnections = 100

const kinds: Readonly<Record<string, RouteKind>> = Object.freeze({ idempotent: 'idempotent', non_idempotent: 'once', streaming: 'stream' })

/**
 * Decodes the configuration; undefined where the bytes hold none.
 *
 * @example
 * decodeConfiguration(row.value)?.version // 7
 */
export function decodeConfiguration (value: Uint8Array): RoutingConfiguration | undefined {
  const file = decodeJson(value)
  if (!configurationCheck.Check(file)) return undefined
  return Object.freeze({
    version: file.version,
    routes: file.routes.map(decodeRoute),
    services: new Map(file.services.map(service => [service.name, decodeService(service)])),
    limits: file.limits
  })
}

/** Callers leave after a gap of the longest of these three, as the platform's page on callers says. */
const leastPatienceMs = 2000
const patienceTargets = 4
const patienceGaps = 8

function computePatienceMs (targetMs: number, maxGapMs: number): number {
  return Math.max(leastPatienceMs, patienceTargets * targetMs, patienceGaps * maxGapMs)
}

function decodeRoute (route: Static<typeof routeSchema>): Route {
  // A route has either one service or a split over several.
  const targets = route.trafficSplit ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }])
  const kind = kinds[route.routeKind] ?? 'once'
  const timeoutMs = route.timeoutMs ?? defaultTimeoutMs
  const targetMs = route.targetLatencyMs ?? defaultTargetMs
  return {
    name: route.name,
    hostname: route.hostname.toLowerCase(),
    prefix: route.prefix,
    // A kind that is not known is taken as one that must not be repeated.
    kind,
    isResumable: route.resumable ?? false,
    timeoutMs,
    targetMs,
    maxGapMs: route.targetGapMs,
    patienceMs: kind === 'stream' ? computePatienceMs(targetMs, route.targetGapMs ?? 0) : timeoutMs,
    rank: route.priority ?? 0,
    maxAttempts: Math.max(1, route.maxAttempts ?? 1),
    targets
  }
}

function decodeService (service: Static<typeof configurationSchema>['services'][number]): ServiceShape {
  return {
    name: service.name,
    maxConnections: service.maxConnections ?? defaultMaxConnections,
    engine: service.engine && decodeEngine(service.engine)
  }
}

function decodeEngine (engine: Static<typeof engineSchema>): EngineShape {
  return {
    // The wire's "slots" are places in the batch, not places for adapters.
    batchLimit: engine.slots,
    cacheTokens: engine.kvCacheTokens ?? 0,
    adapterSlots: engine.adapterSlotCount ?? 0,
    weightsMb: engine.weightsMb ?? 0,
    loadsPerSecond: engine.loadsPerS ?? 0,
    tokensPerEvent: engine.stride ?? 1,
    models: (engine.models ?? []).map(model => ({
      name: model.name,
      weightsMb: model.weightsMb ?? 0,
      adapterMb: model.adapterMb ?? 0,
      loadMs: (model.loadTimeS ?? 0) * 1000
    }))
  }
}

/** Decodes the declaration of an adapter's version; undefined where the bytes hold none. */
export function decodeAdapterVersion (value: Uint8Array): AdapterVersion | undefined {
  const file = decodeJson(value)
  return versionCheck.Check(file) ? { model: file.model, adapter: file.adapter, version: file.version } : undefined
}
