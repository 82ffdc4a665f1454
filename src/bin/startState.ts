/** Wires the tasks that keep lasting state to the platform. */
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import type { Clock } from '../ports/clock.js'
import { claimLifeMs, claimPrefix, readClaimRow } from '../tasks/claims/claimRow.js'
import { ClaimTask } from '../tasks/claims/claimTask.js'
import { removeAnswer } from '../tasks/table/answerStore.js'
import { BatchWriter } from '../tasks/table/batchWriter.js'
import { RowSweeper } from '../tasks/table/rowSweeper.js'
import { TableWriter } from '../tasks/table/tableWriter.js'
import type { RunningProcess } from './runBinary.js'

/** Rows of writes whose writer has gone before it settled them. */
const sweptTokens = { prefix: 'tokens/', lifeMs: 24 * 3600 * 1000 }

export interface RunningState extends RunningProcess {
  readonly claims: ClaimTask
}

/** Starts what a gateway needs to keep claims. */
export function startState (hostId: string, clock: Clock, { table, objects }: Platform): RunningState {
  const writer = new TableWriter({ table, clock })
  const batches = new BatchWriter({ clock, writer })
  const claims = new ClaimTask({ hostId, clock, table, objects, writer, batches })
  const sweeper = new RowSweeper({
    clock,
    table,
    writer,
    swept: [sweptTokens, {
      prefix: claimPrefix,
      lifeMs: claimLifeMs,
      removeBelongings: async row => {
        const claim = readClaimRow(row)
        if (claim.state === 'answered') await removeAnswer(objects, claim.answer)
      }
    }]
  })
  sweeper.start()
  return {
    claims,
    stop: async () => sweeper.stop()
  }
}
