/** Decodes the operators' rows: the configuration and declared adapter versions. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { AdapterVersion, EngineSpec, Route, RouteKind, RoutingConfiguration, ServiceSpec } from '../schemas/routing.js'
import { decodeAccounts } from './decodeAccounts.js'
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
  public: Type.Optional(Type.Boolean()),
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

/** The configuration as operators write it. */
export const configurationSchema = Type.Object({
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
  }),
  tenants: Type.Optional(Type.Unknown())
})

const versionSchema = Type.Object({ model: Type.String(), adapter: Type.String(), version: Type.Number({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }) })

export type WireConfiguration = Static<typeof configurationSchema>

const configurationValidator = TypeCompiler.Compile(configurationSchema)
const versionValidator = TypeCompiler.Compile(versionSchema)

/** Timeout of a route that sets none: the longest of the published routes. */
const defaultTimeoutMs = 12_000
/** Target latency of a route that sets none; all published routes set one. */
const defaultTargetMs = 1000
/** Connection limit of a service that sets none: the smallest of the published limits. */
const defaultMaxConnections = 100

/** Kinds of routes by their names on the wire. */
export const routeKinds: Readonly<Record<string, RouteKind>> = Object.freeze({ idempotent: 'idempotent', non_idempotent: 'once', streaming: 'stream' })

/**
 * Decodes the configuration; undefined if the bytes do not hold a valid one.
 *
 * @example
 * decodeConfiguration(row.value)?.version // 7
 */
export function decodeConfiguration (value: Uint8Array): RoutingConfiguration | undefined {
  const configuration = decodeJson(value)
  return isConfiguration(configuration) ? createConfiguration(configuration) : undefined
}

/** Converts a valid configuration. */
export function createConfiguration (configuration: WireConfiguration): RoutingConfiguration {
  return Object.freeze({
    version: configuration.version,
    routes: configuration.routes.map(decodeRoute),
    services: new Map(configuration.services.map(service => [service.name, decodeService(service)])),
    limits: configuration.limits,
    ...decodeAccounts(configuration.tenants)
  })
}

/** Whether hosts can decode a configuration. */
export function isConfiguration (document: unknown): document is WireConfiguration {
  return configurationValidator.Check(document)
}

/**
 * Lists what keeps hosts from decoding a configuration; `path` is a JSON pointer.
 *
 * @example
 * listConfigurationErrors({ version: 1 })[0] // { path: '/routes', message: 'Expected required property' }
 */
export function listConfigurationErrors (document: unknown): { path: string, message: string }[] {
  const errors = new Map<string, string>()
  // A field that is missing is reported once more for its type.
  for (const { path, message } of configurationValidator.Errors(document)) if (!errors.has(path)) errors.set(path, message)
  return [...errors].map(([path, message]) => ({ path, message }))
}

/**
 * A caller of a streaming route leaves after a gap between chunks of this minimum, of 4 target latencies or of 8 target
 * gaps, whichever is longest. The platform's documentation for callers specifies the three values.
 */
const minPatienceMs = 2000
const targetLatencyFactor = 4
const targetGapFactor = 8

function computePatienceMs (targetMs: number, maxGapMs: number): number {
  return Math.max(minPatienceMs, targetLatencyFactor * targetMs, targetGapFactor * maxGapMs)
}

function decodeRoute (route: Static<typeof routeSchema>): Route {
  // A route names either one service or a traffic split over several.
  const targets = route.trafficSplit ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }])
  const kind = routeKinds[route.routeKind] ?? 'once'
  const timeoutMs = route.timeoutMs ?? defaultTimeoutMs
  const targetMs = route.targetLatencyMs ?? defaultTargetMs
  return {
    name: route.name,
    hostname: route.hostname.toLowerCase(),
    prefix: route.prefix,
    // An unknown kind is treated as one whose requests must not be retried.
    kind,
    isResumable: route.resumable ?? false,
    timeoutMs,
    targetMs,
    maxGapMs: route.targetGapMs,
    patienceMs: kind === 'stream' ? computePatienceMs(targetMs, route.targetGapMs ?? 0) : timeoutMs,
    rank: route.priority ?? 0,
    isPublic: route.public ?? false,
    maxAttempts: Math.max(1, route.maxAttempts ?? 1),
    targets
  }
}

function decodeService (service: Static<typeof configurationSchema>['services'][number]): ServiceSpec {
  return {
    name: service.name,
    maxConnections: service.maxConnections ?? defaultMaxConnections,
    engine: service.engine && decodeEngine(service.engine)
  }
}

function decodeEngine (engine: Static<typeof engineSchema>): EngineSpec {
  return {
    // The wire field `slots` counts batch slots, not adapter slots.
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

/** Decodes a declared adapter version; undefined if the bytes do not hold a valid one. */
export function decodeAdapterVersion (value: Uint8Array): AdapterVersion | undefined {
  const declaration = decodeJson(value)
  return versionValidator.Check(declaration)
    ? { model: declaration.model, adapter: declaration.adapter, version: declaration.version }
    : undefined
}
