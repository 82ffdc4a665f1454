/** The settings of each binary. The error for an invalid value contains its `description` as the expected value. */
import { Type } from '@sinclair/typebox'
import type { Static, TObject, TProperties } from '@sinclair/typebox'
import { defaultCallersPort, defaultOperatorsPort } from '../constants.js'

const octet = '(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])'
const ipv4 = `${octet}(\\.${octet}){3}`
const ipv6 = '[0-9a-fA-F]*:[0-9a-fA-F:.]*'
const ipPattern = `^(${ipv4}|${ipv6})$`
const addressPattern = `^(${ipv4}|\\[${ipv6}\\]):[0-9]{1,5}$`

/** A section that may be omitted if all of its keys have defaults. */
function createSection<T extends TProperties> (properties: T): TObject<T> {
  return Type.Object(properties, { additionalProperties: false, default: {} })
}

const nameType = Type.String({ pattern: '^[A-Za-z0-9][A-Za-z0-9._-]*$', description: 'a name of letters, digits, ".", "_" and "-"' })
const ipType = Type.String({ pattern: ipPattern, default: '127.0.0.1', description: 'an IP number such as 10.0.0.7' })
const addressType = Type.String({ pattern: addressPattern, description: 'an IP number and a port such as 10.0.0.7:7490' })
/** The value is never printed. */
const keyType = Type.String({ minLength: 16, isSecret: true, description: 'a shared key of at least 16 characters' })

/** Treated as a secret, since the key itself may be entered here by mistake. */
const keyHashType = Type.String({
  pattern: '^[0-9a-f]{64}$', isSecret: true, description: 'the SHA-256 of a key in lower-case hex; "sedgevalvectl key hash" prints it'
})

function createPortType (port: number): ReturnType<typeof Type.Integer> {
  return Type.Integer({ minimum: 0, maximum: 65535, default: port, description: 'a port from 0 to 65535; 0 takes a free one' })
}

const hostSection = createSection({ id: nameType, zone: nameType })
const platformSection = createSection({ address: addressType })

/** `[metrics] statsd`: address that metrics are sent to; if omitted, none are sent. */
const metricsSection = createSection({ statsd: Type.Optional(addressType) })

export const gatewaySettingsSchema = createSection({
  host: hostSection,
  platform: platformSection,
  /** `key`: shared by all hosts. */
  peers: createSection({ key: keyType }),
  callers: createSection({ address: ipType, port: createPortType(defaultCallersPort) }),
  /** `keyHash`: hash of a key that the operators' port accepts before any key is registered. */
  operators: createSection({ address: ipType, port: createPortType(defaultOperatorsPort), keyHash: Type.Optional(keyHashType) }),
  /** `batchFill`: how full batches must be before work is spread over more endpoints; 0 if load stalls cost more. */
  targets: createSection({
    batchFill: Type.Number({ minimum: 0, maximum: 1, default: 0, description: 'a fraction of a batch from 0 to 1' })
  }),
  metrics: metricsSection
})
export type GatewaySettings = Readonly<Static<typeof gatewaySettingsSchema>>

export const schedulerSettingsSchema = createSection({
  host: hostSection,
  platform: platformSection,
  peers: createSection({ address: ipType, port: createPortType(7500), key: keyType }),
  /** Limits of the weight store for all hosts together. */
  store: createSection({
    loadsPerSecond: Type.Number({ exclusiveMinimum: 0, default: 4, description: 'a number of loads per second above 0' }),
    loadsAtFullSpeed: Type.Integer({ minimum: 1, default: 3, description: 'a whole number of loads from 1' })
  }),
  metrics: metricsSection
})
export type SchedulerSettings = Readonly<Static<typeof schedulerSettingsSchema>>

const countType = Type.Integer({ minimum: 0, default: 0, description: 'a whole number from 0' })
const millisecondsType = (ms: number): ReturnType<typeof Type.Number> =>
  Type.Number({ minimum: 0, default: ms, description: 'a time in milliseconds from 0' })

export const standinSettingsSchema = createSection({
  platform: createSection({
    address: ipType,
    port: createPortType(7490),
    listLagMs: millisecondsType(500),
    /** Calls above these limits are rejected; 0 sets no limit. */
    writesPerSecond: Type.Integer({ minimum: 0, default: 400, description: 'a whole number of transactions per second from 0' }),
    readsPerSecond: Type.Integer({ minimum: 0, default: 2000, description: 'a whole number of reads per second from 0' }),
    /** Whether the table initially contains the records of the quick start. */
    exampleRecords: Type.Boolean({ default: true, description: 'true or false' })
  }),
  engines: createSection({
    count: countType,
    /** Engines listen on consecutive ports from this one; 0 selects free ports. */
    firstPort: createPortType(7600),
    zones: Type.Integer({ minimum: 1, default: 3, description: 'a whole number of availability zones from 1' }),
    baseModel: Type.String({ default: 'base-1', minLength: 1, description: 'the name of a base model' }),
    slots: Type.Integer({ minimum: 1, default: 8, description: 'a whole number of adapter slots from 1' }),
    batchLimit: Type.Integer({ minimum: 1, default: 16, description: 'a whole number of requests from 1' }),
    stepBaseMs: millisecondsType(18),
    stepPerRequestMs: millisecondsType(0.5),
    prefillPerTokenMs: millisecondsType(0.05),
    /** Time after a restart for which an engine serves no requests. */
    coldStartMs: millisecondsType(0),
    /** Age of the values in load reports. */
    reportLagMs: millisecondsType(0),
    /** Whether the engines refuse orders with an outdated fencing token, or ignore the token. */
    fencing: Type.Union([Type.Literal('refuse'), Type.Literal('ignore')], { default: 'refuse', description: '"refuse" or "ignore"' }),
    /** A full batch is preempted for a request whose priority number is smaller by this much; 0 disables preemption. */
    preemptionGap: Type.Number({ minimum: 0, default: 1, description: 'a difference of priorities from 0; 0 for none' }),
    /** Number of 64-character prompt blocks that an engine's prefix cache holds. */
    cacheBlocks: Type.Integer({ minimum: 0, default: 4096, description: 'a whole number of blocks from 0' }),
    cacheEventLagMs: millisecondsType(200),
    /** Drops each cache event whose number is a multiple of this; 0 drops none. */
    loseEveryNthCacheEvent: Type.Integer({ minimum: 0, default: 0, description: 'a whole number from 0' })
  }),
  store: createSection({
    loadMs: millisecondsType(650),
    loadsAtFullSpeed: Type.Integer({ minimum: 1, default: 3, description: 'a whole number of loads from 1' }),
    loadsPerSecond: Type.Number({ exclusiveMinimum: 0, default: 4.5, description: 'a number of loads per second above 0' })
  }),
  services: createSection({
    name: Type.String({ default: 'claims', minLength: 1, description: 'the name of a service' }),
    count: countType,
    firstPort: createPortType(7700)
  })
})
export type StandinSettings = Readonly<Static<typeof standinSettingsSchema>>
