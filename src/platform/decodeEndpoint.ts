/** Decodes what endpoints tell of themselves: their rows in the store and their reports. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { EndpointEntry, LoadedAdapter, LoadedModel } from '../schemas/routing.js'
import type { EngineState } from '../ports/orders.js'
import { decodeJson } from './decodeJson.js'

const modelSchema = Type.Object({
  name: Type.String(),
  version: Type.Number(),
  adapters: Type.Array(Type.String())
})

const entrySchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  address: Type.String({ pattern: '^[0-9.]+:[0-9]{1,5}$' }),
  zone: Type.String(),
  slots: Type.Number({ minimum: 1 }),
  state: Type.Union([Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
  born: Type.Optional(Type.Integer()),
  models: Type.Optional(Type.Array(modelSchema)),
  sequence: Type.Number()
})

const reportSchema = Type.Object({
  born: Type.Optional(Type.Integer()),
  models: Type.Array(modelSchema),
  busy: Type.Boolean(),
  sequence: Type.Number(),
  waiting: Type.Number(),
  running: Type.Number(),
  coming: Type.Optional(Type.Array(Type.String()))
})

const entryCheck = TypeCompiler.Compile(entrySchema)
const reportCheck = TypeCompiler.Compile(reportSchema)

/**
 * Decodes an endpoint's row; undefined where it names no endpoint that could be used.
 *
 * @example
 * decodeEndpoint('i-7f3a', row.value)?.address // '10.128.0.9:8080'
 */
export function decodeEndpoint (id: string, value: Uint8Array): EndpointEntry | undefined {
  const entry = decodeJson(value)
  if (!entryCheck.Check(entry)) return undefined
  return {
    id,
    service: entry.service,
    address: entry.address,
    zone: entry.zone,
    isLeaving: entry.state === 'draining',
    goneInMs: entry.remainingMs,
    places: entry.slots,
    startedAtMs: entry.born ?? 0,
    models: decodeModels(entry.models ?? []),
    orderCount: entry.sequence
  }
}

/** Decodes the report of an engine; undefined where it cannot be read. */
export function decodeReport (body: Uint8Array): EngineState | undefined {
  const report = decodeJson(body)
  if (!reportCheck.Check(report)) return undefined
  return {
    startedAtMs: report.born,
    models: decodeModels(report.models),
    // The wire's names of coming adapters are MODEL/NAME@VERSION.
    loading: (report.coming ?? []).map(name => ({ model: name.slice(0, name.indexOf('/')), ...decodeAdapter(name.slice(name.indexOf('/') + 1)) })),
    isBusy: report.busy,
    orderCount: report.sequence,
    running: report.running,
    waiting: report.waiting
  }
}

function decodeModels (models: Static<typeof modelSchema>[]): LoadedModel[] {
  return models.map(({ name, version, adapters }) => ({ name, version, adapters: adapters.map(decodeAdapter) }))
}

function decodeAdapter (name: string): LoadedAdapter {
  const at = name.lastIndexOf('@')
  return at < 0 ? { name, version: 1 } : { name: name.slice(0, at), version: Number(name.slice(at + 1)) }
}
