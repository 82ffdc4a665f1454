/** `/api/records` and `/api/changes`: registrations, changed by compare-and-set. */
import type { FastifyInstance, FastifyRequest } from 'fastify'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { createLog } from '../../createLog.js'
import { configurationKindSchema } from '../../schemas/configuration.js'
import type { ConfigurationKind } from '../../schemas/configuration.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { changeRequestSchema } from '../configuration/configurationChange.js'
import type { ChangeRequest, ChangeResult } from '../configuration/configurationChange.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'

const log = createLog('operators')
const maxPage = 1000
const maxNamedRecords = 5

const pageSchema = Type.Object({
  after: Type.Optional(Type.String()),
  limit: Type.Optional(Type.Integer({ minimum: 1, maximum: maxPage }))
}, { additionalProperties: false })

/** HTTP status of each result of a change. */
const resultStatus: Record<ChangeResult['type'], number> = {
  accepted: 200, unconfirmed: 202, conflict: 409, refused: 422, unavailable: 503, unknown: 504
}

interface RecordParams {
  Params: { kind: string, name: string }
}

export function addRecordRoutes (server: FastifyInstance, context: OperatorsContext): void {
  addReadRoutes(server, context)
  server.get('/api/changes', async () => ({ change: context.operations.describeChange() ?? null }))
  server.post('/api/changes', async (request, reply) => {
    const change = request.body
    if (!Value.Check(changeRequestSchema, change)) {
      return sendOperatorFailure(context, reply, createNotRunFailure('invalid_change', describeWrongChange(change), 400))
    }
    const result = await context.operations.changeRecords(change)
    recordChange(context, request, change, result)
    return await reply.code(resultStatus[result.type]).send(result)
  })
}

function addReadRoutes (server: FastifyInstance, context: OperatorsContext): void {
  server.get<RecordParams>('/api/records/:kind', async (request, reply) => {
    const { kind } = request.params
    const query = Value.Convert(pageSchema, request.query)
    if (!Value.Check(configurationKindSchema, kind)) return sendOperatorFailure(context, reply, createKindFailure(kind))
    if (!Value.Check(pageSchema, query)) {
      return sendOperatorFailure(context, reply, createNotRunFailure('invalid_query', `"limit" is a whole number from 1 to ${maxPage}, "after" a name`, 400))
    }
    return renderPage(context, kind, query.after ?? '', query.limit ?? maxPage)
  })
  server.get<RecordParams>('/api/records/:kind/:name', async (request, reply) => {
    const { kind, name } = request.params
    if (!Value.Check(configurationKindSchema, kind)) return sendOperatorFailure(context, reply, createKindFailure(kind))
    return context.operations.findRecord({ kind, name }) ??
      sendOperatorFailure(context, reply, createNotRunFailure('record_not_found', `${kind} "${name.slice(0, 100)}" does not exist`, 404))
  })
}

function renderPage (context: OperatorsContext, kind: ConfigurationKind, after: string, limit: number): unknown {
  const records = context.operations.listVersioned(kind, after, limit + 1)
  return {
    configurationVersion: context.configuration.version,
    records: records.slice(0, limit),
    hasMore: records.length > limit
  }
}

function createKindFailure (kind: string): ReturnType<typeof createNotRunFailure> {
  const kinds = configurationKindSchema.anyOf.map(({ const: name }) => name).join(', ')
  return createNotRunFailure('kind_unknown', `kind "${kind.slice(0, 100)}" does not exist; expected one of ${kinds}`, 404)
}

/** Names the field that is wrong, and no value, since a value may be a key. */
function describeWrongChange (change: unknown): string {
  const error = Value.Errors(changeRequestSchema, change).First()
  const record = findWrongRecord(change, error?.path ?? '')
  return `field "${error?.path ?? ''}" of the change${record} is wrong: ${error?.message.toLowerCase() ?? 'unknown'}`
}

function findWrongRecord (change: unknown, path: string): string {
  const index = /^\/puts\/(\d+)/.exec(path)?.[1]
  const record = (change as { puts?: Array<{ kind?: unknown, name?: unknown }> } | null)?.puts?.[Number(index)]
  return index === undefined || !record ? '' : ` (${String(record.kind)} "${String(record.name).slice(0, 100)}")`
}

/** Makes a change visible to those who watch. */
function recordChange (context: OperatorsContext, request: FastifyRequest, change: ChangeRequest, result: ChangeResult): void {
  const operator = request.operator?.name ?? ''
  const reason = `operator "${operator}" asked to put ${formatNames(change.puts)} and remove ${formatNames(change.removes)}`
  const chosen = 'version' in result ? `${result.type}, version ${result.version}` : result.type
  log('Change of the configuration: %s; %s.', chosen, reason)
  context.decisions.record({ kind: 'configuration', considered: [], chosen, reason, waits: [] })
}

function formatNames (records: Array<{ kind: string, name: string }>): string {
  if (records.length === 0) return 'nothing'
  const names = records.slice(0, maxNamedRecords).map(({ kind, name }) => `${kind} "${name}"`).join(', ')
  return records.length > maxNamedRecords ? `${names} and ${records.length - maxNamedRecords} more` : names
}
