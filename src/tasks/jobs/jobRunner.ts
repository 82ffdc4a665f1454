/** Takes jobs from the queue, runs them like callers' requests and stores one answer for each. */
import { randomUUID } from 'node:crypto'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { JobRequest } from '../../schemas/jobRows.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import { createMayHaveRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { AnswerEvent, RoutedRequest } from '../gateway/routedRequest.js'
import type { RequestRouter } from '../gateway/requestRouter.js'
import { collectAnswer } from '../gateway/collectAnswer.js'
import { describeJobEnd, describeReturn, describeRun } from './describeJob.js'
import type { Job, JobStore, QueuedJob } from './jobStore.js'
import type { RunnerLeases } from './runnerLeases.js'

const log = createLog('jobs')
const scanIntervalMs = 2000
const renewIntervalMs = 5000
const maxRunningJobs = 64
/** Places of the queue that one scan reads. */
const scanLimit = 256
/** A job that was not run is left to others, or to later, for this time. */
const backoffMs = 5000
/** A late job asks for its answer within this time, and for twice as much after each refusal as out of reach. */
const minAllowanceMs = 5000
const maxAllowanceMs = 4 * 3600 * 1000
const finishIntervalMs = 1000
/** A job that still cannot run this long after its time fails. */
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
  /** Whether a job whose former run may have run must not run again; see `isRepeatForbidden`. */
  isRepeatForbidden?: (job: Job, queued: QueuedJob) => boolean
}

interface RunningJob {
  queued: QueuedJob
  requestId: string | undefined
}

/** Work that may run at most once is not begun again after a run of whose end nothing is known. */
export function isRepeatForbidden (job: Job, queued: QueuedJob): boolean {
  return job.row.runsAtMostOnce && queued.row.openRuns > 1
}

export class JobRunner {
  #options: JobRunnerOptions
  #running = new Map<string, RunningJob>()
  /** Times until which jobs are left alone here, by place in the queue. */
  #backOffs = new Map<string, number>()
  #scans: Repetition | undefined
  #renewals: Repetition | undefined
  #hasLease = false
  #isStopped = false

  constructor (options: JobRunnerOptions) {
    this.#options = options
  }

  /** Number of jobs that this process runs. */
  get running (): number {
    return this.#running.size
  }

  start (): void {
    const { clock } = this.#options
    this.#scans = repeatTask(clock, scanIntervalMs, async () => await this.#scanQueue(),
      error => log('The queue of jobs was not read: %s.', error.message))
    this.#renewals = repeatTask(clock, renewIntervalMs, async () => await this.#renew(),
      error => log('The lease of the job runner was not renewed: %s.', error.message))
  }

  /** Takes no more jobs and ends once those that run have ended, or after half a minute. */
  async stop (): Promise<void> {
    const { clock, leases } = this.#options
    this.#scans?.stop()
    const endMs = clock.readMonotonic() + maxDrainMs
    while (this.#running.size > 0 && clock.readMonotonic() < endMs) await this.#wait(drainIntervalMs)
    this.#isStopped = true
    this.#renewals?.stop()
    for (const queueKey of [...this.#running.keys()]) this.#dropRun(queueKey)
    if (this.#hasLease) await leases.withdrawLease()
  }

  async #scanQueue (): Promise<void> {
    const free = maxRunningJobs - this.#running.size
    if (free <= 0) return
    const { store, leases, random, runner } = this.#options
    const queue = await store.listQueue(scanLimit)
    this.#forgetBackOffs(queue)
    const places = queue.filter(place => !this.#running.has(place.queueKey) && !this.#isBackedOff(place))
    const gone = await leases.findGone(places.flatMap(({ row }) => row.runner !== undefined && row.runner !== runner ? [row.runner] : []))
    const open = places.filter(({ row }) => row.runner === undefined || row.runner === runner || gone.has(row.runner))
    if (open.length === 0 || !await this.#holdLease()) return
    // Hosts that scan at the same moment pick different places out of those that are due first.
    const first = open.slice(0, free * 2).map(place => ({ place, rank: random() }))
    const picked = first.sort((left, right) => left.rank - right.rank).slice(0, free)
    for (const { place } of picked) this.#startJob(place)
  }

  /** Forgets jobs that have left the queue, as far as this scan saw it. */
  #forgetBackOffs (queue: QueuedJob[]): void {
    const seen = new Set(queue.map(place => place.queueKey))
    const isWhole = queue.length < scanLimit
    for (const queueKey of this.#backOffs.keys()) {
      if (isWhole && !seen.has(queueKey)) this.#backOffs.delete(queueKey)
    }
  }

  async #holdLease (): Promise<boolean> {
    if (!this.#hasLease) this.#hasLease = await this.#options.leases.renewLease()
    return this.#hasLease
  }

  #startJob (place: QueuedJob): void {
    this.#running.set(place.queueKey, { queued: place, requestId: undefined })
    const run = async (): Promise<void> => {
      const queued = await this.#options.store.takeJob(place, this.#options.runner)
      if (queued) await this.#runJob(queued)
    }
    run()
      .catch((error: Error) => {
        log('Job "%s" was not run: %s.', place.row.jobKey, error.message)
        this.#backOff(place, backoffMs)
      })
      .finally(() => this.#running.delete(place.queueKey))
  }

  async #runJob (queued: QueuedJob): Promise<void> {
    const { store, isRepeatForbidden: isForbidden = isRepeatForbidden } = this.#options
    const job = await store.readJobByKey(queued.row.jobKey)
    if (!job || job.row.state !== 'queued') return
    if (isForbidden(job, queued)) {
      await this.#finish(job, queued, createMayHaveRun('runner_lost', 'the host that ran the job went away, and the job may run only once', 502))
      return
    }
    const request = await store.readRequest(job.row)
    const end = await this.#runInTime(job, queued, request)
    if (!end) return
    if (!('verdict' in end) || this.#isFinal(job, end)) await this.#finish(job, queued, end)
    else await this.#release(job, queued, end)
  }

  /**
   * Asks for more time as long as schedulers refuse what cannot end by then: an accepted job is run even if late.
   * Undefined where the job was cancelled or has changed hands meanwhile.
   */
  async #runInTime (job: Job, queued: QueuedJob, request: JobRequest): Promise<StoredAnswer | RequestFailure | undefined> {
    for (let allowanceMs = this.#computeLeftMs(job); ;) {
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
      // Nobody waits for its first token, whatever its class says of other requests.
      target: { kind: 'finishWithin', ms: Math.ceil(dueInMs) },
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + dueInMs,
      isRepeatable: !job.row.runsAtMostOnce,
      isStream: false
    }
    this.#running.set(queued.queueKey, { queued, requestId })
    return await collectAnswer(routed, (send: (event: AnswerEvent) => void) => router.startRequest(routed, send),
      () => router.cancelRequest(requestId))
  }

  #computeLeftMs (job: Job): number {
    const leftMs = job.row.dueAtWallMs - this.#options.clock.readWall()
    return leftMs > 0 ? leftMs : minAllowanceMs
  }

  /** Whether another run would end the same way, or must not be. */
  #isFinal (job: Job, failure: RequestFailure): boolean {
    if (failure.verdict === 'ran') return true
    if (failure.verdict === 'mayHaveRun' && job.row.runsAtMostOnce) return true
    const isRefusedForGood = failure.status >= 400 && failure.status < 500 && failure.status !== 429
    return isRefusedForGood || this.#options.clock.readWall() > job.row.dueAtWallMs + maxLatenessMs
  }

  async #release (job: Job, queued: QueuedJob, failure: RequestFailure): Promise<void> {
    this.#options.recordDecision?.(describeReturn(job.row, failure))
    log('Job "%s" was not run and goes back into the queue: %s.', queued.row.jobKey, failure.message)
    this.#backOff(queued, Math.max(backoffMs, failure.retryAfterMs ?? 0))
    await this.#options.store.releaseJob(queued)
  }

  /** Writes the end of a job until the table has it, or another end stands. */
  async #finish (job: Job, queued: QueuedJob, end: StoredAnswer | RequestFailure): Promise<void> {
    while (!this.#isStopped) {
      const result = await this.#options.store.finishJob(job, queued, end).catch(() => undefined)
      if (result?.verdict === 'applied') {
        this.#backOffs.delete(queued.queueKey)
        this.#options.recordDecision?.(describeJobEnd(job.row, end))
        return
      }
      if (result?.verdict === 'notApplied' && result.cause === 'conflict') {
        log('The end of job "%s" was dropped: the job has ended or changed hands.', job.row.id)
        return
      }
      log('The end of job "%s" was not written; it is tried again.', job.row.id)
      await this.#wait(finishIntervalMs)
    }
  }

  async #renew (): Promise<void> {
    if (this.#running.size === 0) return
    if (!await this.#options.leases.renewLease()) return
    const started = [...this.#running].filter(([, job]) => job.requestId !== undefined).map(([queueKey]) => queueKey)
    if (started.length === 0) return
    const places = new Map((await this.#options.store.readQueue(started)).map(place => [place.queueKey, place]))
    for (const queueKey of started) {
      if (places.get(queueKey)?.row.runner !== this.#options.runner) this.#dropRun(queueKey)
    }
  }

  /** The job was cancelled, or has changed hands: its run has no use any longer. */
  #dropRun (queueKey: string): void {
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
