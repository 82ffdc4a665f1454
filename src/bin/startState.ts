/** Wires the tasks that keep lasting state to the platform. */
import { randomUUID } from 'node:crypto'
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import type { Clock } from '../ports/clock.js'
import type { RecordDecision } from '../schemas/decision.js'
import { claimLifeMs, claimPrefix, readClaimRow } from '../tasks/claims/claimRow.js'
import { ClaimTask } from '../tasks/claims/claimTask.js'
import { JobRunner } from '../tasks/jobs/jobRunner.js'
import type { JobRunnerOptions } from '../tasks/jobs/jobRunner.js'
import { JobStore, isJobOpen, jobPrefix } from '../tasks/jobs/jobStore.js'
import { RunnerLeases, runnerPrefix } from '../tasks/jobs/runnerLeases.js'
import { removeContent } from '../tasks/table/contentStore.js'
import { BatchWriter } from '../tasks/table/batchWriter.js'
import { RowSweeper } from '../tasks/table/rowSweeper.js'
import { TableWriter } from '../tasks/table/tableWriter.js'
import type { RunningProcess } from './processEnd.js'

/** Rows of writes whose writer has gone before it settled them. */
const sweptTokens = { prefix: 'tokens/', lifeMs: 24 * 3600 * 1000 }

/** Jobs that have ended are kept at least this long. */
const jobLifeMs = 7 * 24 * 3600 * 1000

export interface RunningState extends RunningProcess {
  readonly claims: ClaimTask
  readonly jobs: JobStore
  /** Creates the runner of jobs; the caller starts and stops it. */
  createJobRunner: (router: JobRunnerOptions['router'], recordDecision: RecordDecision) => JobRunner
}

/** Starts what a gateway needs to keep claims and jobs. */
export function startState (hostId: string, clock: Clock, { table, objects }: Platform): RunningState {
  const writer = new TableWriter({ table, clock })
  const batches = new BatchWriter({ clock, writer })
  const claims = new ClaimTask({ hostId, clock, table, objects, writer, batches })
  const jobs = new JobStore({ table, objects, batches, writer })
  const sweeper = new RowSweeper({
    clock,
    table,
    writer,
    swept: [
      sweptTokens,
      { prefix: runnerPrefix, lifeMs: sweptTokens.lifeMs },
      { prefix: jobPrefix, lifeMs: jobLifeMs, isKept: isJobOpen, removeBelongings: async row => await jobs.removeBelongings(row) },
      {
        prefix: claimPrefix,
        lifeMs: claimLifeMs,
        removeBelongings: async row => {
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
      const runner = `${hostId}-${randomUUID()}`
      const leases = new RunnerLeases({ runner, hostId, clock, table, batches })
      return new JobRunner({ runner, clock, random: Math.random, store: jobs, leases, router, recordDecision })
    },
    stop: async () => sweeper.stop()
  }
}
