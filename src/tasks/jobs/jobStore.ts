/** Stores jobs as rows of the table. Each change is a compare-and-set, so a job ends only once. */
import { createHash, randomUUID } from 'node:crypto'
import type { Static, TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import VError from 'verror'
import { createLog } from '../../createLog.js'
import type { ObjectStore } from '../../ports/objectStore.js'
import type { Table, TableRow } from '../../ports/table.js'
import { jobRequestSchema, jobRowSchema, queueRowSchema } from '../../schemas/jobRows.js'
import type { JobRequest, JobRow, QueueRow } from '../../schemas/jobRows.js'
import type { ContentReference, StoredAnswer } from '../../schemas/storedAnswer.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { BatchWriter } from '../table/batchWriter.js'
import { readAnswer, readContent, removeContent, writeAnswer, writeContent } from '../table/contentStore.js'
import type { TableWriter, WriteResult } from '../table/tableWriter.js'

const log = createLog('jobs')
export const jobPrefix = 'jobs/'
const queuePrefix = 'jobQueue/'
const retryAfterUnavailableMs = 2000
/** How long to keep resolving the outcome of a write before giving up; as long as an outage may last. */
const resolveTimeoutMs = 2 * 3600 * 1000
/** Wall-clock times in milliseconds are padded to this many digits, so that keys sort by time. */
const dueTimeDigits = 15

export interface JobStoreOptions {
  table: Table
  objects: ObjectStore
  batches: Pick<BatchWriter, 'write'>
  writer: Pick<TableWriter, 'resolve'>
}

export interface JobDraft {
  /** Submissions with the same key from the same caller refer to the same job. */
  idempotencyKey: string | undefined
  bodyHash: string
  acceptedAtWallMs: number
  dueAtWallMs: number
  runsAtMostOnce: boolean
  request: JobRequest
}

/** A job and its queue entry, if it has one, read together. */
export interface Job {
  key: string
  version: number
  row: JobRow
  queue: { version: number, row: QueueRow } | undefined
}

export type SubmitResult = { type: 'accepted', job: JobRow } | { type: 'refused', failure: RequestFailure }

/** A queue entry: which job it stands for and which runner has claimed it. */
export interface QueuedJob {
  queueKey: string
  version: number
  row: QueueRow
}

/** Reads reject with a `PlatformUnavailable` error if the platform does not respond. */
export class JobStore {
  #options: JobStoreOptions

  constructor (options: JobStoreOptions) {
    this.#options = options
  }

  /** Accepts a job once it is durable, or returns the job already submitted with the same key. Never rejects. */
  async submitJob (draft: JobDraft): Promise<SubmitResult> {
    const { objects, batches } = this.#options
    const { callerName } = draft.request
    const id = createJobId(callerName, draft.idempotencyKey)
    const key = formatJobKey(callerName, id)
    try {
      const bytes = Buffer.from(JSON.stringify(draft.request))
      const request = await writeContent(objects, `jobRequests/${key}/${randomUUID()}`, bytes)
      const row = createJobRow(id, key, draft, request)
      const queue: QueueRow = { jobKey: key, openRuns: 0 }
      const result = await batches.write({
        checks: [{ key, version: 0 }], writes: [{ key, value: row }, { key: row.queueKey, value: queue }]
      })
      if (result.verdict === 'applied') return { type: 'accepted', job: row }
      this.#removeUnreferencedObject(result, request)
      if (result.verdict === 'unknown') return { type: 'refused', failure: createUnknownOutcomeFailure() }
      if (result.cause === 'conflict') return compareWithExistingJob(result.conflicts.find(found => found.key === key), draft)
    } catch {
      // The object store did not respond: no row refers to the object, so the job does not exist.
    }
    return { type: 'refused', failure: createUnavailableFailure() }
  }

  /** Reads one job of a caller. */
  async readJob (callerName: string, id: string): Promise<Job | undefined> {
    return await this.readJobByKey(formatJobKey(callerName, id))
  }

  async readJobByKey (key: string): Promise<Job | undefined> {
    const { table } = this.#options
    const [found] = await table.readRows([key])
    if (!found) return undefined
    const row = parseRowValue(jobRowSchema, found)
    if (row.state !== 'queued') return { key, version: found.version, row, queue: undefined }
    const rows = await table.readRows([key, row.queueKey])
    const current = rows.find(candidate => candidate.key === key)
    const queue = rows.find(candidate => candidate.key === row.queueKey)
    if (!current) return undefined
    return {
      key,
      version: current.version,
      row: parseRowValue(jobRowSchema, current),
      queue: queue && { version: queue.version, row: parseRowValue(queueRowSchema, queue) }
    }
  }

  /** Lists a caller's jobs in order of id, starting after the given id. */
  async listJobs (callerName: string, after: string, limit: number): Promise<JobRow[]> {
    const prefix = formatJobKey(callerName, '')
    const rows = await this.#options.table.listRows({ prefix, after: after === '' ? '' : `${prefix}${after}`, limit })
    return rows.map(row => parseRowValue(jobRowSchema, row))
  }

  /** Lists at most `maxReadRows` jobs of one caller, or of all, with their queue entries, by key, after the given key. */
  async listPage (callerName: string | undefined, after: string, limit: number): Promise<Job[]> {
    const { table } = this.#options
    const prefix = callerName === undefined ? jobPrefix : formatJobKey(callerName, '')
    const jobs = (await table.listRows({ prefix, after, limit })).map(found => ({ ...found, row: parseRowValue(jobRowSchema, found) }))
    const queueKeys = jobs.filter(({ row }) => row.state === 'queued').map(({ row }) => row.queueKey)
    const queue = new Map((await this.readQueue(queueKeys)).map(entry => [entry.queueKey, entry]))
    return jobs.map(({ key, version, row }) => ({ key, version, row, queue: queue.get(row.queueKey) }))
  }

  async readAnswer (row: JobRow): Promise<StoredAnswer | undefined> {
    return row.answer && await readAnswer(this.#options.objects, row.answer)
  }

  async readRequest (row: JobRow): Promise<JobRequest> {
    const bytes = await readContent(this.#options.objects, row.request)
    const request: unknown = JSON.parse(Buffer.from(bytes).toString())
    if (!Value.Check(jobRequestSchema, request)) throw new VError('the request of job "%s" does not match its schema', row.id)
    return request
  }

  /** Lists the queue in order of due time. */
  async listQueue (limit: number): Promise<QueuedJob[]> {
    const rows = await this.#options.table.listRows({ prefix: queuePrefix, after: '', limit })
    return rows.map(row => ({ queueKey: row.key, version: row.version, row: parseRowValue(queueRowSchema, row) }))
  }

  /** Reads queue entries; those that no longer exist are left out. */
  async readQueue (queueKeys: string[]): Promise<QueuedJob[]> {
    const rows = await this.#options.table.readRows(queueKeys)
    return rows.map(row => ({ queueKey: row.key, version: row.version, row: parseRowValue(queueRowSchema, row) }))
  }

  /** Claims a job for a runner, also from a runner whose lease has expired; returns undefined if the claim was not written. */
  async claimJob (queued: QueuedJob, runner: string): Promise<QueuedJob | undefined> {
    const { jobKey, openRuns } = queued.row
    // An earlier claim by this runner whose response was lost did not start a run, so it is not counted again.
    const isOwn = queued.row.runner === runner
    return await this.#writeQueue(queued, { jobKey, runner, openRuns: isOwn ? openRuns : openRuns + 1 })
  }

  /** Returns a job that was not run to the queue, for any runner to claim. */
  async releaseJob (queued: QueuedJob): Promise<void> {
    const { jobKey, openRuns } = queued.row
    await this.#writeQueue(queued, { jobKey, openRuns: openRuns - 1 })
  }

  /** Ends a job with its answer or with a final failure. Writes nothing if another runner has claimed the job meanwhile. */
  async finishJob (job: Job, queued: QueuedJob, end: StoredAnswer | RequestFailure): Promise<WriteResult> {
    if ('verdict' in end) return await this.#endJob(job, queued.version, { ...job.row, state: 'failed', failure: end })
    const { objects } = this.#options
    const answer = await writeAnswer(objects, `jobAnswers/${job.key}/${randomUUID()}`, end)
    const result = await this.#endJob(job, queued.version, { ...job.row, state: 'finished', answer })
    this.#removeUnreferencedObject(result, answer)
    return result
  }

  /** Cancels a job that has not ended. */
  async cancelJob (job: Job): Promise<WriteResult> {
    return await this.#endJob(job, undefined, { ...job.row, state: 'cancelled' })
  }

  /** Removes the stored request and answer of a job whose row has been removed. */
  async removeJobObjects (row: TableRow): Promise<void> {
    const job = parseRowValue(jobRowSchema, row)
    await removeContent(this.#options.objects, job.request)
    if (job.answer) await removeContent(this.#options.objects, job.answer)
  }

  /** Removes the object of a row that was not written; if the outcome is unknown, resolves it first. Never rejects. */
  async #removeUnreferencedObject (result: WriteResult, content: ContentReference): Promise<void> {
    if (content.objectKey === undefined || result.verdict === 'applied') return
    const { objects, writer } = this.#options
    const resolved = result.verdict === 'unknown' ? await writer.resolve(result.pending, resolveTimeoutMs) : result
    if (resolved.verdict !== 'notApplied') return
    await removeContent(objects, content).catch(() => log('Could not remove object "%s", which no job refers to.', content.objectKey))
  }

  /**
   * The check on the job's row ensures that it has not ended; the check on its queue entry, if a version is given, that no
   * other runner has claimed it.
   */
  async #endJob (job: Job, queueVersion: number | undefined, row: JobRow): Promise<WriteResult> {
    return await this.#options.batches.write({
      checks: [
        { key: job.key, version: job.version },
        ...(queueVersion === undefined ? [] : [{ key: row.queueKey, version: queueVersion }])
      ],
      writes: [{ key: job.key, value: row }, { key: row.queueKey, value: null }]
    })
  }

  async #writeQueue ({ queueKey, version }: QueuedJob, row: QueueRow): Promise<QueuedJob | undefined> {
    const result = await this.#options.batches.write({
      checks: [{ key: queueKey, version }], writes: [{ key: queueKey, value: row }]
    })
    return result.verdict === 'applied' ? { queueKey, version: result.version, row } : undefined
  }
}

/** Whether a job has not ended yet; its row is then kept regardless of age. */
export function isJobOpen (row: TableRow): boolean {
  return parseRowValue(jobRowSchema, row).state === 'queued'
}

function createJobId (callerName: string, idempotencyKey: string | undefined): string {
  if (idempotencyKey === undefined) return `job-${randomUUID()}`
  return `job-${hashText(`${callerName.length}:${callerName}${idempotencyKey}`)}`
}

function formatJobKey (callerName: string, id: string): string {
  return `${jobPrefix}${hashText(callerName).slice(0, 16)}/${id}`
}

function createJobRow (id: string, key: string, draft: JobDraft, request: JobRow['request']): JobRow {
  const { bodyHash, acceptedAtWallMs, dueAtWallMs, runsAtMostOnce } = draft
  const { callerName, adapter, version, className } = draft.request
  const due = String(Math.max(0, Math.round(dueAtWallMs))).padStart(dueTimeDigits, '0')
  const queueKey = `${queuePrefix}${due}/${key.slice(jobPrefix.length)}`
  return {
    id, state: 'queued', callerName, bodyHash, adapter, version, className, acceptedAtWallMs, dueAtWallMs, runsAtMostOnce, queueKey, request
  }
}

function compareWithExistingJob (found: TableRow | undefined, draft: JobDraft): SubmitResult {
  if (!found) return { type: 'refused', failure: createUnavailableFailure() }
  const job = parseRowValue(jobRowSchema, found)
  if (job.bodyHash === draft.bodyHash) return { type: 'accepted', job }
  const message = `job "${job.id}" was submitted with the same Idempotency-Key but a different request; use a new key`
  return { type: 'refused', failure: createNotRunFailure('idempotency_key_reused', message, 422) }
}

function createUnavailableFailure (): RequestFailure {
  return createNotRunFailure('jobs_unavailable', 'the platform did not respond, so the job was not accepted', 503, retryAfterUnavailableMs)
}

function createUnknownOutcomeFailure (): RequestFailure {
  const message = 'the platform\'s response was lost, so the job may have been accepted; submit it again with the same Idempotency-Key'
  return { ...createMayHaveRunFailure('job_unknown', message, 503), retryAfterMs: retryAfterUnavailableMs }
}

function parseRowValue<T extends TSchema> (schema: T, row: TableRow): Static<T> {
  if (!Value.Check(schema, row.value)) throw new VError('row "%s" does not match its schema', row.key)
  return row.value as Static<T>
}

function hashText (text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 32)
}
