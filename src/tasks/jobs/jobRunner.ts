/** Claims jobs from the queue, runs them like callers' requests and stores one result for each. */
import { randomUUID } from 'node:crypto'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { JobRequest } from '../../schemas/jobRows.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import { createMayHaveRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { AnswerEvent, RoutedRequest } from '../gateway/routedRequest.js'
import type { RequestRouter } from '../gateway/requestRouter.js'
import { collectResponse } from '../gateway/collectResponse.js'
import { describeJobEnd, describeReturn, describeRun } from './describeJob.js'
import type { Job, JobStore, QueuedJob } from './jobStore.js'
import type { RunnerLeases } from './runnerLeases.js'

const log = createLog('jobs')
const scanIntervalMs = 2000
const renewIntervalMs = 5000
const maxRunningJobs = 64
/** Number of queue entries that one scan reads. */
const scanLimit = 256
/** This process does not retry a job that was not run for this long; other runners may claim it meanwhile. */
const backoffMs = 5000
/**
 * Time limit of a job past its due time, and the least that a job asks for after a refusal because its limit cannot be met.
 * Each such refusal doubles the limit, until one at `maxAllowanceMs` or more is refused.
 */
const minAllowanceMs = 5000
const maxAllowanceMs = 4 * 3600 * 1000
const finishIntervalMs = 1000
/** A job that still cannot run this long after its due time fails. */
const maxLatenessMs = 24 * 3600 * 1000
const maxDrainMs = 30_000
const drainIntervalMs = 50

export interface JobRunnerOptions {
  /** Unique to this process. */
  runner: string
  clock: Clock
  random: () => number
  store: JobStore
  leases: RunnerLeases
  router: Pick<RequestRouter, 'startRequest' | 'cancelRequest'>
  recordDecision?: RecordDecision
  /** Whether a job must not run again because an earlier run may have executed; default: `isRerunForbidden`. */
  isRerunForbidden?: (job: Job, queued: QueuedJob) => boolean
}

interface RunningJob {
  queued: QueuedJob
  requestId: string | undefined
}

/** A job that may run at most once must not run again after a run whose outcome is unknown. */
export function isRerunForbidden (job: Job, queued: QueuedJob): boolean {
  return job.row.runsAtMostOnce && queued.row.openRuns > 1
}

export class JobRunner {
  #options: JobRunnerOptions
  #running = new Map<string, RunningJob>()
  /** Monotonic times until which this process does not retry jobs, by queue key. */
  #backOffs = new Map<string, number>()
  #scans: Repetition | undefined
  #renewals: Repetition | undefined
  #hasLease = false
  #isStopped = false

  constructor (options: JobRunnerOptions) {
    this.#options = options
  }

  /** Number of jobs that this process is running. */
  get runningCount (): number {
    return this.#running.size
  }

  start (): void {
    const { clock } = this.#options
    this.#scans = repeatTask(clock, scanIntervalMs, async () => await this.#scanQueue(),
      error => log('Could not read the job queue: %s.', error.message))
    this.#renewals = repeatTask(clock, renewIntervalMs, async () => await this.#renewLease(),
      error => log('Could not renew the lease of the job runner: %s.', error.message))
  }

  /** Stops claiming jobs and waits up to `maxDrainMs` for the running ones to end; then cancels the rest. */
  async stop (): Promise<void> {
    const { clock, leases } = this.#options
    this.#scans?.stop()
    const endMs = clock.readMonotonic() + maxDrainMs
    while (this.#running.size > 0 && clock.readMonotonic() < endMs) await this.#wait(drainIntervalMs)
    this.#isStopped = true
    this.#renewals?.stop()
    for (const queueKey of [...this.#running.keys()]) this.#cancelRun(queueKey)
    if (this.#hasLease) await leases.withdrawLease()
  }

  async #scanQueue (): Promise<void> {
    const freeCount = maxRunningJobs - this.#running.size
    if (freeCount <= 0) return
    const { store, leases, random, runner } = this.#options
    const queue = await store.listQueue(scanLimit)
    this.#removeStaleBackOffs(queue)
    const candidates = queue.filter(entry => !this.#running.has(entry.queueKey) && !this.#isBackedOff(entry))
    const expired = await leases.findExpiredRunners(candidates.flatMap(({ row }) => row.runner !== undefined && row.runner !== runner ? [row.runner] : []))
    const claimable = candidates.filter(({ row }) => row.runner === undefined || row.runner === runner || expired.has(row.runner))
    if (claimable.length === 0 || !await this.#ensureLease()) return
    // Picks at random among the entries due first, so that hosts scanning at the same time rarely pick the same ones.
    const ranked = claimable.slice(0, freeCount * 2).map(entry => ({ entry, rank: random() }))
    const picked = ranked.sort((left, right) => left.rank - right.rank).slice(0, freeCount)
    for (const { entry } of picked) this.#startJob(entry)
  }

  /** Removes the back-off times of jobs that have left the queue, if this scan read the whole queue. */
  #removeStaleBackOffs (queue: QueuedJob[]): void {
    const seen = new Set(queue.map(entry => entry.queueKey))
    const isComplete = queue.length < scanLimit
    for (const queueKey of this.#backOffs.keys()) {
      if (isComplete && !seen.has(queueKey)) this.#backOffs.delete(queueKey)
    }
  }

  async #ensureLease (): Promise<boolean> {
    if (!this.#hasLease) this.#hasLease = await this.#options.leases.renewLease()
    return this.#hasLease
  }

  #startJob (entry: QueuedJob): void {
    this.#running.set(entry.queueKey, { queued: entry, requestId: undefined })
    const run = async (): Promise<void> => {
      const queued = await this.#options.store.claimJob(entry, this.#options.runner)
      if (queued) await this.#runJob(queued)
    }
    run()
      .catch((error: Error) => {
        log('Could not run job "%s": %s.', entry.row.jobKey, error.message)
        this.#backOff(entry, backoffMs)
      })
      .finally(() => this.#running.delete(entry.queueKey))
  }

  async #runJob (queued: QueuedJob): Promise<void> {
    const { store, isRerunForbidden: isForbidden = isRerunForbidden } = this.#options
    const job = await store.readJobByKey(queued.row.jobKey)
    if (!job || job.row.state !== 'queued') return
    if (isForbidden(job, queued)) {
      await this.#finish(job, queued, createMayHaveRunFailure('runner_lost', 'the host that ran the job was lost, and the job may run only once', 502))
      return
    }
    const request = await store.readRequest(job.row)
    const end = await this.#runInTime(job, queued, request)
    if (!end) return
    if (!('verdict' in end) || this.#isFinal(job, end)) await this.#finish(job, queued, end)
    else await this.#release(job, queued, end)
  }

  /**
   * Runs the job, with a longer time limit each time schedulers refuse it because it cannot finish in time: an accepted
   * job is run even if it is late. Returns undefined if the job was cancelled or claimed by another runner meanwhile.
   */
  async #runInTime (job: Job, queued: QueuedJob, request: JobRequest): Promise<StoredAnswer | RequestFailure | undefined> {
    for (let allowanceMs = this.#computeAllowanceMs(job); ;) {
      const requestId = `${job.row.id}-${randomUUID().slice(0, 8)}`
      const end = await this.#runRequest(job, queued, request, requestId, allowanceMs)
      if (this.#running.get(queued.queueKey)?.requestId !== requestId) return undefined
      if (!('verdict' in end) || end.code !== 'target_out_of_reach' || allowanceMs >= maxAllowanceMs) return end
      allowanceMs = Math.max(minAllowanceMs, allowanceMs * 2)
    }
  }

  async #runRequest (
    job: Job, queued: QueuedJob, request: JobRequest, requestId: string, dueInMs: number
  ): Promise<StoredAnswer | RequestFailure> {
    const { clock, router, recordDecision } = this.#options
    const nowMs = clock.readMonotonic()
    recordDecision?.(describeRun(job.row, requestId, clock.readWall(), dueInMs))
    const routed: RoutedRequest = {
      ...request,
      requestId,
      // No caller waits for a job's first token, so the target of its class does not apply.
      target: { kind: 'finishWithin', ms: Math.ceil(dueInMs) },
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + dueInMs,
      isRetryable: !job.row.runsAtMostOnce,
      isStream: false
    }
    this.#running.set(queued.queueKey, { queued, requestId })
    return await collectResponse(routed, (send: (event: AnswerEvent) => void) => router.startRequest(routed, send),
      () => router.cancelRequest(requestId))
  }

  #computeAllowanceMs (job: Job): number {
    const leftMs = job.row.dueAtWallMs - this.#options.clock.readWall()
    return leftMs > 0 ? leftMs : minAllowanceMs
  }

  /** Whether the job must not be retried: a run would fail the same way, is not allowed, or is too late. */
  #isFinal (job: Job, failure: RequestFailure): boolean {
    if (failure.verdict === 'ran') return true
    if (failure.verdict === 'mayHaveRun' && job.row.runsAtMostOnce) return true
    const isPermanentRefusal = failure.status >= 400 && failure.status < 500 && failure.status !== 429
    return isPermanentRefusal || this.#options.clock.readWall() > job.row.dueAtWallMs + maxLatenessMs
  }

  async #release (job: Job, queued: QueuedJob, failure: RequestFailure): Promise<void> {
    this.#options.recordDecision?.(describeReturn(job.row, failure))
    log('Job "%s" was not run and returns to the queue: %s.', queued.row.jobKey, failure.message)
    this.#backOff(queued, Math.max(backoffMs, failure.retryAfterMs ?? 0))
    await this.#options.store.releaseJob(queued)
  }

  /** Retries writing the result of a job until it is written, or the job has ended or been claimed by another runner. */
  async #finish (job: Job, queued: QueuedJob, end: StoredAnswer | RequestFailure): Promise<void> {
    while (!this.#isStopped) {
      const result = await this.#options.store.finishJob(job, queued, end).catch(() => undefined)
      if (result?.verdict === 'applied') {
        this.#backOffs.delete(queued.queueKey)
        this.#options.recordDecision?.(describeJobEnd(job.row, end))
        return
      }
      if (result?.verdict === 'notApplied' && result.cause === 'conflict') {
        log('Discarded the result of job "%s": the job has already ended or another runner has claimed it.', job.row.id)
        return
      }
      log('Could not write the result of job "%s"; retrying.', job.row.id)
      await this.#wait(finishIntervalMs)
    }
  }

  async #renewLease (): Promise<void> {
    if (this.#running.size === 0) return
    if (!await this.#options.leases.renewLease()) return
    const started = [...this.#running].filter(([, job]) => job.requestId !== undefined).map(([queueKey]) => queueKey)
    if (started.length === 0) return
    const entries = new Map((await this.#options.store.readQueue(started)).map(entry => [entry.queueKey, entry]))
    for (const queueKey of started) {
      if (entries.get(queueKey)?.row.runner !== this.#options.runner) this.#cancelRun(queueKey)
    }
  }

  /** Cancels a run that is no longer needed: its job was cancelled or claimed by another runner, or this runner stops. */
  #cancelRun (queueKey: string): void {
    const requestId = this.#running.get(queueKey)?.requestId
    this.#running.delete(queueKey)
    if (requestId !== undefined) this.#options.router.cancelRequest(requestId)
  }

  #backOff ({ queueKey }: QueuedJob, ms: number): void {
    this.#backOffs.set(queueKey, this.#options.clock.readMonotonic() + ms)
  }

  #isBackedOff ({ queueKey }: QueuedJob): boolean {
    return (this.#backOffs.get(queueKey) ?? 0) > this.#options.clock.readMonotonic()
  }

  async #wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }
}
