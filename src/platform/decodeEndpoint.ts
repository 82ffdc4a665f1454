/** Decodes what endpoints publish about themselves: their rows in the store and their state reports. */
import { isIPv4 } from 'node:net'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { EndpointEntry, LoadedAdapter, LoadedModel } from '../schemas/routing.js'
import type { EngineState } from '../ports/engineOrders.js'
import { decodeJson } from './decodeJson.js'

/** More than this many concurrent requests are a mistake of the entry's writer. */
const maxSlots = 1_000_000
/** Longest delay of a timer. */
const maxTimerMs = 2 ** 31 - 1
const countSchema = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER })

const modelSchema = Type.Object({
  name: Type.String(),
  version: Type.Number({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
  adapters: Type.Array(Type.String())
})

const entrySchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  address: Type.String(),
  zone: Type.String(),
  /** Version of the endpoint's software, not of its models. */
  version: Type.Optional(Type.Union([Type.String(), Type.Number(), Type.Boolean(), Type.Null()])),
  slots: Type.Number({ minimum: 1, maximum: maxSlots }),
  state: Type.Union([Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number({ maximum: maxTimerMs })),
  born: Type.Optional(countSchema),
  models: Type.Optional(Type.Array(modelSchema)),
  sequence: countSchema
})

const reportSchema = Type.Object({
  born: Type.Optional(countSchema),
  models: Type.Array(modelSchema),
  busy: Type.Boolean(),
  sequence: countSchema,
  waiting: Type.Number(),
  running: Type.Number(),
  coming: Type.Optional(Type.Array(Type.String()))
})

const entryValidator = TypeCompiler.Compile(entrySchema)
const reportValidator = TypeCompiler.Compile(reportSchema)

/**
 * Decodes an endpoint's row; undefined if the row does not describe a usable endpoint.
 *
 * @example
 * decodeEndpoint('i-7f3a', row.value)?.address // '10.128.0.9:8080'
 */
export function decodeEndpoint (id: string, value: Uint8Array): EndpointEntry | undefined {
  const entry = decodeJson(value)
  if (!entryValidator.Check(entry) || !isUsableAddress(entry.address)) return undefined
  return {
    id,
    service: entry.service,
    address: entry.address,
    zone: entry.zone,
    isLeaving: entry.state === 'draining',
    goneInMs: entry.remainingMs,
    places: entry.slots,
    softwareVersion: typeof entry.version === 'string' ? entry.version : JSON.stringify(entry.version) ?? '',
    startedAtMs: entry.born ?? 0,
    models: decodeModels(entry.models ?? []),
    orderCount: entry.sequence
  }
}

const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/
const maxPort = 65_535

/** Whether a text is the `ip:port` of something that can be connected to. */
function isUsableAddress (address: string): boolean {
  const [, host, port] = addressPattern.exec(address) ?? []
  return host !== undefined && isIPv4(host) && Number(port) >= 1 && Number(port) <= maxPort
}

/** Decodes an engine's state report; undefined if it is invalid. */
export function decodeEngineReport (body: Uint8Array): EngineState | undefined {
  const report = decodeJson(body)
  if (!reportValidator.Check(report)) return undefined
  return {
    startedAtMs: report.born,
    models: decodeModels(report.models),
    // Adapters that are loading are listed as MODEL/NAME@VERSION.
    loading: (report.coming ?? []).map(path => ({ model: path.slice(0, path.indexOf('/')), ...decodeAdapter(path.slice(path.indexOf('/') + 1)) })),
    isBusy: report.busy,
    orderCount: report.sequence,
    running: report.running,
    waiting: report.waiting
  }
}

function decodeModels (models: Static<typeof modelSchema>[]): LoadedModel[] {
  return models.map(({ name, version, adapters }) => ({ name, version, adapters: adapters.map(decodeAdapter) }))
}

function decodeAdapter (handle: string): LoadedAdapter {
  const separator = handle.lastIndexOf('@')
  return separator < 0 ? { name: handle, version: 1 } : { name: handle.slice(0, separator), version: Number(handle.slice(separator + 1)) }
}
