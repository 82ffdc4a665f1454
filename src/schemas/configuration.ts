/** What operators register: classes, adapters and versions, services, endpoints and callers' keys. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

const nameSchema = Type.String({ pattern: '^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$' })

/** The outcome that a class of work promises. There are no weights or shares. */
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
  /** The version that a bare adapter name means; one of `versions`. */
  currentVersion: nameSchema,
  defaultClass: Type.Optional(nameSchema)
}, { additionalProperties: false })
export type AdapterRecord = Static<typeof adapterRecordSchema>

/** Which calls of a plain service may be repeated. */
export const serviceRouteSchema = Type.Object({
  method: Type.String(),
  /** A path prefix below the service, such as `/kits`. */
  path: Type.String(),
  idempotent: Type.Boolean()
}, { additionalProperties: false })

export const serviceRecordSchema = Type.Object({
  kind: Type.Literal('service'),
  name: nameSchema,
  /** The longest matching path decides; GET and HEAD are idempotent where nothing matches. */
  routes: Type.Array(serviceRouteSchema)
}, { additionalProperties: false })
export type ServiceRecord = Static<typeof serviceRecordSchema>

export const endpointRecordSchema = Type.Object({
  kind: Type.Literal('endpoint'),
  name: nameSchema,
  /** Whether the engine refuses orders that carry an old fencing number. */
  checksFencing: Type.Boolean()
}, { additionalProperties: false })
export type EndpointRecord = Static<typeof endpointRecordSchema>

export const keyRecordSchema = Type.Object({
  kind: Type.Literal('key'),
  name: nameSchema,
  role: Type.Union([Type.Literal('caller'), Type.Literal('operator')]),
  /** SHA-256 of the key, in lower-case hex. */
  hash: Type.String({ pattern: '^[0-9a-f]{64}$' }),
  /** Adapter names that the key reaches; `*` reaches all. */
  adapters: Type.Array(Type.String()),
  /** Service names that the key reaches; `*` reaches all. */
  services: Type.Array(Type.String()),
  /** Class names that the key may ask for; `*` allows all. */
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
/** Names one record. */
export type RecordName = Static<typeof recordNameSchema>

export const configurationChangeSchema = Type.Object({
  /** The version that the change leads to, from the one before it. */
  version: Type.Integer({ minimum: 1 }),
  puts: Type.Array(configurationRecordSchema),
  removes: Type.Array(recordNameSchema)
})
/** One accepted change. */
export type ConfigurationChange = Static<typeof configurationChangeSchema>

/** A record with the configuration version that last changed it. */
export interface VersionedRecord {
  version: number
  record: ConfigurationRecord
}

/** What a host reads of the configuration in force. Records are frozen. */
export interface ConfigurationView {
  /** Rises with every accepted change; 0 before the first was seen. */
  readonly version: number
  /** Whether every accepted change is certainly in force here; without it the host takes no new work of callers. */
  isCurrent: () => boolean
  findClass: (name: string) => ClassRecord | undefined
  findAdapter: (name: string) => AdapterRecord | undefined
  findService: (name: string) => ServiceRecord | undefined
  findEndpoint: (name: string) => EndpointRecord | undefined
  findKeyByHash: (hash: string) => KeyRecord | undefined
  /** Records of a kind in order of name, after the given name. */
  listRecords: (kind: ConfigurationKind, after: string, limit: number) => ConfigurationRecord[]
}
