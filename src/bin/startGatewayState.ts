/** Creates the tasks that keep a gateway's persistent state on the platform. */
import { randomUUID } from 'node:crypto'
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import type { Clock } from '../ports/clock.js'
import type { RecordDecision } from '../schemas/decision.js'
import { claimRetentionMs, claimKeyPrefix, readClaimRow } from '../tasks/idempotency/claimRow.js'
import { IdempotencyClaimTask } from '../tasks/idempotency/idempotencyClaimTask.js'
import { JobRunner } from '../tasks/jobs/jobRunner.js'
import type { JobRunnerOptions } from '../tasks/jobs/jobRunner.js'
import { JobStore, isJobOpen, jobPrefix } from '../tasks/jobs/jobStore.js'
import { RunnerLeases, runnerPrefix } from '../tasks/jobs/runnerLeases.js'
import { removeContent } from '../tasks/table/contentStore.js'
import { BatchWriter } from '../tasks/table/batchWriter.js'
import { RowSweeper } from '../tasks/table/rowSweeper.js'
import { TableWriter } from '../tasks/table/tableWriter.js'
import type { RunningProcess } from './processExit.js'

/** Retention of write tokens whose writer stopped before it had resolved the write's outcome. */
const tokenRetention = { prefix: 'tokens/', lifeMs: 24 * 3600 * 1000 }

/** Ended jobs are kept at least this long. */
const jobRetentionMs = 7 * 24 * 3600 * 1000

export interface RunningGatewayState extends RunningProcess {
  readonly claims: IdempotencyClaimTask
  readonly jobs: JobStore
  /** Creates the job runner; the caller starts and stops it. */
  createJobRunner: (router: JobRunnerOptions['router'], recordDecision: RecordDecision) => JobRunner
}

/** Creates the stores of idempotency claims and jobs and starts to remove their expired rows. */
export function startGatewayState (hostId: string, clock: Clock, { table, objects }: Platform): RunningGatewayState {
  const writer = new TableWriter({ table, clock })
  const batchWriter = new BatchWriter({ clock, writer })
  const claims = new IdempotencyClaimTask({ hostId, clock, table, objects, writer, batches: batchWriter })
  const jobs = new JobStore({ table, objects, batches: batchWriter, writer })
  const sweeper = new RowSweeper({
    clock,
    table,
    writer,
    retentionRules: [
      tokenRetention,
      { prefix: runnerPrefix, lifeMs: tokenRetention.lifeMs },
      { prefix: jobPrefix, lifeMs: jobRetentionMs, isExempt: isJobOpen, removeReferencedData: async row => await jobs.removeJobObjects(row) },
      {
        prefix: claimKeyPrefix,
        lifeMs: claimRetentionMs,
        removeReferencedData: async row => {
          const claim = readClaimRow(row)
          if (claim.state === 'answered') await removeContent(objects, claim.answer)
        }
      }
    ]
  })
  sweeper.start()
  return {
    claims,
    jobs,
    createJobRunner: (router, recordDecision) => {
      const runnerId = `${hostId}-${randomUUID()}`
      const leases = new RunnerLeases({ runner: runnerId, hostId, clock, table, batches: batchWriter })
      return new JobRunner({ runner: runnerId, clock, random: Math.random, store: jobs, leases, router, recordDecision })
    },
    stop: async () => sweeper.stop()
  }
}
