/** The records that operators register: request classes, adapters and their versions, services, endpoints and API keys. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

const nameSchema = Type.String({ pattern: '^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$' })

/** The service-level target of a request class. Classes have no weights or shares. */
export const targetSchema = Type.Union([
  Type.Object({ kind: Type.Literal('firstTokenWithin'), ms: Type.Integer({ minimum: 1 }) }, { additionalProperties: false }),
  Type.Object({ kind: Type.Literal('wholeAnswerWithin'), ms: Type.Integer({ minimum: 1 }) }, { additionalProperties: false }),
  Type.Object({ kind: Type.Literal('finishWithin'), ms: Type.Integer({ minimum: 1 }) }, { additionalProperties: false }),
  Type.Object({
    kind: Type.Literal('finishByTimeOfDay'),
    /** UTC, `HH:MM`. */
    time: Type.String({ pattern: '^([01][0-9]|2[0-3]):[0-5][0-9]$' })
  }, { additionalProperties: false })
])
export type Target = Static<typeof targetSchema>

export const classRecordSchema = Type.Object({
  kind: Type.Literal('class'),
  name: nameSchema,
  target: targetSchema
}, { additionalProperties: false })
export type ClassRecord = Static<typeof classRecordSchema>

export const adapterRecordSchema = Type.Object({
  kind: Type.Literal('adapter'),
  name: nameSchema,
  baseModel: nameSchema,
  versions: Type.Array(nameSchema, { minItems: 1 }),
  /** The version that an adapter name without a version refers to; one of `versions`. */
  currentVersion: nameSchema,
  defaultClass: Type.Optional(nameSchema)
}, { additionalProperties: false })
export type AdapterRecord = Static<typeof adapterRecordSchema>

/** Whether calls of a plain service under a path may be retried. */
export const serviceRouteSchema = Type.Object({
  method: Type.String(),
  /** A path prefix relative to the service, such as `/kits`. */
  path: Type.String(),
  idempotent: Type.Boolean()
}, { additionalProperties: false })

export const serviceRecordSchema = Type.Object({
  kind: Type.Literal('service'),
  name: nameSchema,
  /** The longest matching path applies; if none matches, GET and HEAD are idempotent. */
  routes: Type.Array(serviceRouteSchema)
}, { additionalProperties: false })
export type ServiceRecord = Static<typeof serviceRecordSchema>

export const endpointRecordSchema = Type.Object({
  kind: Type.Literal('endpoint'),
  name: nameSchema,
  /** Whether the engine refuses orders that carry an outdated fencing token. */
  checksFencing: Type.Boolean()
}, { additionalProperties: false })
export type EndpointRecord = Static<typeof endpointRecordSchema>

export const keyRecordSchema = Type.Object({
  kind: Type.Literal('key'),
  name: nameSchema,
  role: Type.Union([Type.Literal('caller'), Type.Literal('operator')]),
  /** SHA-256 of the key, in lower-case hex. */
  hash: Type.String({ pattern: '^[0-9a-f]{64}$' }),
  /** Adapter names that the key may use; `*` allows all. */
  adapters: Type.Array(Type.String()),
  /** Service names that the key may use; `*` allows all. */
  services: Type.Array(Type.String()),
  /** Class names that the key may request; `*` allows all. */
  classes: Type.Array(Type.String()),
  defaultClass: Type.Optional(nameSchema)
}, { additionalProperties: false })
export type KeyRecord = Static<typeof keyRecordSchema>

export const configurationRecordSchema = Type.Union([
  classRecordSchema, adapterRecordSchema, serviceRecordSchema, endpointRecordSchema, keyRecordSchema
])
export type ConfigurationRecord = Static<typeof configurationRecordSchema>
export const configurationKindSchema = Type.Union([
  Type.Literal('class'), Type.Literal('adapter'), Type.Literal('service'), Type.Literal('endpoint'), Type.Literal('key')
])
export type ConfigurationKind = Static<typeof configurationKindSchema>

export const recordNameSchema = Type.Object({ kind: configurationKindSchema, name: Type.String() }, { additionalProperties: false })
/** Identifies one record. */
export type RecordName = Static<typeof recordNameSchema>

export const configurationChangeSchema = Type.Object({
  /** The version that results from the change; it applies to the version before it. */
  version: Type.Integer({ minimum: 1 }),
  puts: Type.Array(configurationRecordSchema),
  removes: Type.Array(recordNameSchema)
})
/** One accepted change. */
export type ConfigurationChange = Static<typeof configurationChangeSchema>

/** A record and the configuration version that last changed it. */
export interface VersionedRecord {
  version: number
  record: ConfigurationRecord
}

/** Read access to the configuration in force on this host. Records are frozen. */
export interface ConfigurationView {
  /** Increases with every accepted change; 0 before the first one was seen. */
  readonly version: number
  /** Whether every accepted change is certainly in force here; if not, the host accepts no new requests from callers. */
  isCurrent: () => boolean
  findClass: (name: string) => ClassRecord | undefined
  findAdapter: (name: string) => AdapterRecord | undefined
  findService: (name: string) => ServiceRecord | undefined
  findEndpoint: (name: string) => EndpointRecord | undefined
  findKeyByHash: (hash: string) => KeyRecord | undefined
  /** Lists records of a kind in order of name, starting after the given name. */
  listRecords: (kind: ConfigurationKind, after: string, limit: number) => ConfigurationRecord[]
}
