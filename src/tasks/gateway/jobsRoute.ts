/** `/v1/jobs`: deferrable requests. An accepted job is stored durably. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { JobRow } from '../../schemas/jobRows.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { hashParts } from '../idempotency/claimRow.js'
import { describeAcceptance, describeCancellation } from '../jobs/describeJob.js'
import type { Job } from '../jobs/jobStore.js'
import { readHeader, readRequestId, sendFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'
import { renderErrorBody } from './callerError.js'
import { resolveRequest } from './resolveRequest.js'
import type { RoutedRequest } from './routedRequest.js'

const maxPageSize = 100
const retryAfterUnavailableMs = 2000
const jobSchema = Type.Object({
  path: Type.Union([Type.Literal('/v1/chat/completions'), Type.Literal('/v1/completions')]),
  body: Type.Object({}, { additionalProperties: true }),
  /** Whether a job must not be run again after a run whose outcome is unknown. */
  run_at_most_once: Type.Optional(Type.Boolean())
}, { additionalProperties: false })
const pageSchema = Type.Object({
  after: Type.Optional(Type.String()),
  limit: Type.Optional(Type.Integer({ minimum: 1, maximum: maxPageSize }))
})

/** Adds the routes that submit, list, read and cancel a caller's jobs. */
export function addJobsRoute (server: FastifyInstance, context: CallersContext): void {
  server.post('/v1/jobs', async (request, reply) => await submitJob(context, request, reply))
  server.get('/v1/jobs', async (request, reply) => await handlePlatformErrors(reply, async () => await listJobs(context, request, reply)))
  server.get<{ Params: { id: string } }>('/v1/jobs/:id', async (request, reply) =>
    await handlePlatformErrors(reply, async () => await sendJob(context, request, reply)))
  server.delete<{ Params: { id: string } }>('/v1/jobs/:id', async (request, reply) =>
    await handlePlatformErrors(reply, async () => await cancelJob(context, request, reply)))
}

async function submitJob (context: CallersContext, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const { body } = request
  if (!Value.Check(jobSchema, body)) {
    const error = Value.Errors(jobSchema, body).First()
    return sendFailure(reply, createNotRunFailure('invalid_body', `field "${error?.path.slice(1)}" of the job is invalid: ${error?.message}`, 400))
  }
  const idempotencyKey = readHeader(request, 'idempotency-key')
  const className = readHeader(request, 'sedgevalve-class')
  const acceptedAtWallMs = context.clock.readWall()
  const arrivedAtMs = context.clock.readMonotonic()
  const resolved = resolveRequest(context.configuration, {
    requestId: readRequestId(reply),
    path: body.path,
    body: { ...body.body, stream: false },
    className,
    idempotencyKey,
    caller: request.caller!,
    arrivedAtMs,
    arrivedAtWallMs: acceptedAtWallMs
  }, context.hashText)
  if (!resolved.isValid) return sendFailure(reply, resolved.failure)
  const result = await context.jobs.submitJob({
    idempotencyKey,
    bodyHash: hashParts([className ?? '', JSON.stringify(body)]),
    acceptedAtWallMs,
    dueAtWallMs: acceptedAtWallMs + resolved.value.dueAtMs - arrivedAtMs,
    runsAtMostOnce: body.run_at_most_once === true,
    request: selectJobRequest(resolved.value)
  })
  if (result.type === 'refused') return sendFailure(reply, result.failure)
  // A job accepted at another time was submitted earlier under the same key, and its acceptance is already recorded.
  if (result.job.acceptedAtWallMs === acceptedAtWallMs) context.recordDecision(describeAcceptance(result.job))
  return reply.code(202).header('location', `/v1/jobs/${result.job.id}`).send(renderJob(result.job))
}

/** Selects the fields of a request that are stored with its job: all that are fixed once. */
function selectJobRequest (request: RoutedRequest): Parameters<CallersContext['jobs']['submitJob']>[0]['request'] {
  const { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body } = request
  return { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body }
}

async function listJobs (context: CallersContext, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const query = Value.Convert(pageSchema, request.query)
  if (!Value.Check(pageSchema, query)) {
    return sendFailure(reply, createNotRunFailure('invalid_query', `"limit" must be an integer from 1 to ${maxPageSize}, and "after" a job id`, 400))
  }
  const limit = query.limit ?? maxPageSize
  const rows = await context.jobs.listJobs(request.caller!.name, query.after ?? '', limit + 1)
  const page = rows.slice(0, limit)
  return reply.send({ object: 'list', data: page.map(renderJob), has_more: rows.length > limit, last_id: page.at(-1)?.id ?? null })
}

async function sendJob (
  context: CallersContext, request: FastifyRequest<{ Params: { id: string } }>, reply: FastifyReply
): Promise<FastifyReply> {
  const job = await context.jobs.readJob(request.caller!.name, request.params.id)
  if (!job) return sendFailure(reply, createJobNotFound(request.params.id))
  const answer = await context.jobs.readAnswer(job.row)
  return reply.send({
    ...renderJob(job.row),
    state: renderState(job),
    ...(answer && { answer: { status: answer.status, headers: answer.headers, body: JSON.parse(Buffer.from(answer.body).toString()) } })
  })
}

async function cancelJob (
  context: CallersContext, request: FastifyRequest<{ Params: { id: string } }>, reply: FastifyReply
): Promise<FastifyReply> {
  const { name } = request.caller!
  const { id } = request.params
  const job = await context.jobs.readJob(name, id)
  if (!job) return sendFailure(reply, createJobNotFound(id))
  if (job.row.state === 'queued') {
    const result = await context.jobs.cancelJob(job)
    if (result.verdict === 'unknown' || (result.verdict === 'notApplied' && result.cause === 'unavailable')) {
      return sendFailure(reply, createUnavailable())
    }
    if (result.verdict === 'applied') context.recordDecision(describeCancellation(job.row, `caller "${name}"`))
  }
  const jobAfter = await context.jobs.readJob(name, id)
  return reply.send(jobAfter ? renderJob(jobAfter.row) : {})
}

/** Sends `jobs_unavailable` with a retry delay if the platform throws an error. */
async function handlePlatformErrors (reply: FastifyReply, run: () => Promise<FastifyReply>): Promise<FastifyReply> {
  try {
    return await run()
  } catch {
    return sendFailure(reply, createUnavailable())
  }
}

function renderState ({ row, queue }: Job): string {
  return row.state === 'queued' && queue?.row.runner !== undefined ? 'running' : row.state
}

function renderJob (row: JobRow): Record<string, unknown> {
  return {
    object: 'job',
    id: row.id,
    state: row.state,
    adapter: row.adapter,
    version: row.version,
    class: row.className,
    accepted_at: new Date(row.acceptedAtWallMs).toISOString(),
    due_at: new Date(row.dueAtWallMs).toISOString(),
    ...(row.failure && JSON.parse(renderErrorBody(row.failure)))
  }
}

function createJobNotFound (id: string): RequestFailure {
  return createNotRunFailure('job_not_found', `job "${id.slice(0, 100)}" does not exist or belongs to another caller`, 404)
}

function createUnavailable (): RequestFailure {
  return createNotRunFailure('jobs_unavailable', 'jobs are temporarily unavailable because the platform does not respond', 503, retryAfterUnavailableMs)
}
