/** `/api/jobs`: the jobs of all callers, without what they ask or were answered. */
import type { FastifyInstance, FastifyReply } from 'fastify'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { JobRow } from '../../schemas/jobRows.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { RequestTimeline } from '../../schemas/operatorMessage.js'
import { describeCancellation, listRuns } from '../jobs/describeJob.js'
import type { Job } from '../jobs/jobStore.js'
import { requestStory } from './explainRoute.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'

const maxPage = 500
/** The latest runs of a job whose stories are told. */
const maxToldRuns = 10
const retryAfterUnavailableMs = 2000

const pageSchema = Type.Object({
  caller: Type.Optional(Type.String()),
  after: Type.Optional(Type.String()),
  limit: Type.Optional(Type.Integer({ minimum: 1, maximum: maxPage }))
}, { additionalProperties: false })

interface JobParams {
  Params: { caller: string, id: string }
}

/** What an operator sees of a job. */
export interface OperatorJob {
  id: string
  caller: string
  state: JobRow['state'] | 'running'
  className: string
  adapter: string
  version: string
  /** ISO 8601, UTC. */
  acceptedAt: string
  dueAt: string
  /** Process that runs the job. */
  runner?: string
  /** Why the job failed. */
  failure?: string
}

export interface JobPage {
  jobs: OperatorJob[]
  /** Position of the next page; absent on the last one. */
  next?: string
}

/** A job's whole way: what stands in the table, the steps that hosts remember, and the story of each run. */
export interface JobStory {
  job: OperatorJob
  steps: Array<{ host: string, atMs: number, step: string, reason: string }>
  runs: RequestTimeline[]
  /** Hosts that gave no answer; what they know is missing. */
  silentHosts: string[]
}

export function addJobRoutes (server: FastifyInstance, context: OperatorsContext): void {
  server.get('/api/jobs', async (request, reply) => await handlePlatformFailure(context, reply, async () => {
    const query = Value.Convert(pageSchema, request.query)
    if (Value.Check(pageSchema, query)) return await listJobs(context, query.caller, query.after ?? '', query.limit ?? maxPage)
    return createNotRunFailure('invalid_query', `"limit" is a whole number from 1 to ${maxPage}, "after" the position of a page, "caller" a key's name`, 400)
  }))
  server.get<JobParams>('/api/jobs/:caller/:id', async (request, reply) => await handlePlatformFailure(context, reply, async () => {
    const { caller, id } = request.params
    const job = await context.jobs.readJob(caller, id)
    return job ? renderJob(job) : createJobNotFound(caller, id)
  }))
  server.get<JobParams>('/api/jobs/:caller/:id/story', async (request, reply) => await handlePlatformFailure(context, reply, async () => {
    const { caller, id } = request.params
    const job = await context.jobs.readJob(caller, id)
    return job ? await requestJobStory(context, renderJob(job), request.headers.authorization ?? '') : createJobNotFound(caller, id)
  }))
  server.delete<JobParams>('/api/jobs/:caller/:id', async (request, reply) => await handlePlatformFailure(context, reply, async () => {
    const { caller, id } = request.params
    return await cancelJob(context, caller, id, request.operator?.name ?? '')
  }))
}

async function listJobs (context: OperatorsContext, caller: string | undefined, after: string, limit: number): Promise<JobPage> {
  const page = await context.jobs.listPage(caller, after, limit)
  const next = page.length < limit ? undefined : page.at(-1)?.key
  return { jobs: page.map(renderJob), ...(next !== undefined && { next }) }
}

async function cancelJob (context: OperatorsContext, caller: string, id: string, operator: string): Promise<OperatorJob | RequestFailure> {
  const job = await context.jobs.readJob(caller, id)
  if (!job) return createJobNotFound(caller, id)
  const result = job.row.state === 'queued' ? await context.jobs.cancelJob(job) : undefined
  if (result?.verdict === 'unknown') {
    return createNotRunFailure('job_unknown', `the platform's answer was lost, so that job "${id}" may be cancelled; read it before trying again`, 504)
  }
  if (result?.verdict === 'applied') context.decisions.record(describeCancellation(job.row, `operator "${operator}"`))
  if (result?.verdict === 'notApplied' && result.cause === 'unavailable') return createUnavailable()
  const after = await context.jobs.readJob(caller, id)
  if (after?.row.state === 'cancelled') return renderJob(after)
  return createNotRunFailure('job_ended', `job "${id}" was not cancelled: it is ${after?.row.state ?? 'gone'}`, 409)
}

async function requestJobStory (context: OperatorsContext, job: OperatorJob, authorization: string): Promise<JobStory> {
  const way = await requestStory(context, job.id, authorization)
  const decisions = (way?.decisions ?? []).sort((left, right) => left.atMs - right.atMs)
  const runs = await Promise.all(listRuns(decisions).slice(-maxToldRuns).map(async run => await requestStory(context, run, authorization)))
  return {
    job,
    steps: decisions.map(({ host, atMs, chosen, reason }) => ({ host, atMs, step: chosen, reason })),
    runs: runs.flatMap(run => run ?? []),
    silentHosts: way?.silentHosts ?? []
  }
}

/** Sends the result, or an outage of the platform as what it is. */
async function handlePlatformFailure (
  context: OperatorsContext, reply: FastifyReply, run: () => Promise<JobPage | OperatorJob | JobStory | RequestFailure>
): Promise<FastifyReply> {
  const result = await run().catch(createUnavailable)
  return 'verdict' in result ? sendOperatorFailure(context, reply, result) : reply.send(result)
}

function renderJob ({ row, queue }: Pick<Job, 'row' | 'queue'>): OperatorJob {
  const runner = row.state === 'queued' ? queue?.row.runner : undefined
  return {
    id: row.id,
    caller: row.callerName,
    state: runner === undefined ? row.state : 'running',
    className: row.className,
    adapter: row.adapter,
    version: row.version,
    acceptedAt: new Date(row.acceptedAtWallMs).toISOString(),
    dueAt: new Date(row.dueAtWallMs).toISOString(),
    ...(runner !== undefined && { runner }),
    ...(row.failure && { failure: row.failure.message })
  }
}

function createJobNotFound (caller: string, id: string): RequestFailure {
  return createNotRunFailure('job_not_found', `job "${id.slice(0, 100)}" of caller "${caller.slice(0, 100)}" does not exist`, 404)
}

function createUnavailable (): RequestFailure {
  return createNotRunFailure('jobs_unavailable', 'the platform gives no answer about jobs at the moment', 503, retryAfterUnavailableMs)
}
