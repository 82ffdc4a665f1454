/** `GET /v1/models`: the adapters that a key may use, in pages. */
import type { FastifyInstance } from 'fastify'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { AdapterRecord, ConfigurationView, KeyRecord } from '../../schemas/configuration.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { isNameAllowed } from './callerAccess.js'
import { sendFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'

const maxPageSize = 1000
const querySchema = Type.Object({
  after: Type.Optional(Type.String()),
  limit: Type.Optional(Type.Integer({ minimum: 1, maximum: maxPageSize }))
})

/** Adds the route. Query parameter `after` is the name of the last adapter on the previous page. */
export function addModelsRoute (server: FastifyInstance, context: CallersContext): void {
  server.get('/v1/models', (request, reply) => {
    const query = Value.Convert(querySchema, request.query)
    if (!Value.Check(querySchema, query)) {
      return sendFailure(reply, createNotRunFailure('invalid_query', `"limit" must be an integer from 1 to ${maxPageSize}, and "after" a name`, 400))
    }
    return renderPage(context.configuration, request.caller!, query.after ?? '', query.limit ?? maxPageSize)
  })
}

function renderPage (configuration: ConfigurationView, caller: KeyRecord, after: string, limit: number): unknown {
  const records = listAllowedAdapters(configuration, caller, after, limit + 1)
  const page = records.slice(0, limit)
  return {
    object: 'list',
    data: page.map(record => ({
      id: record.name, object: 'model', owned_by: record.baseModel, versions: record.versions, current_version: record.currentVersion
    })),
    has_more: records.length > limit,
    last_id: page.at(-1)?.name ?? null
  }
}

function listAllowedAdapters (configuration: ConfigurationView, caller: KeyRecord, after: string, limit: number): AdapterRecord[] {
  const found: AdapterRecord[] = []
  let position = after
  while (found.length < limit) {
    const records = configuration.listRecords('adapter', position, maxPageSize) as AdapterRecord[]
    found.push(...records.filter(record => isNameAllowed(caller.adapters, record.name)))
    if (records.length < maxPageSize) break
    position = records.at(-1)!.name
  }
  return found.slice(0, limit)
}
