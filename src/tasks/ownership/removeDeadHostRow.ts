/** Removes the renewal rows of dead schedulers. */
import { createLog } from '../../createLog.js'
import type { SchedulerLiveness } from '../../core/schedulerLiveness.js'
import { formatSchedulerKey } from '../../schemas/ownershipRows.js'
import type { SchedulerRow } from '../../schemas/ownershipRows.js'
import type { TableWriter } from '../table/tableWriter.js'
import type { OwnershipSnapshot } from './ownershipSnapshot.js'

const log = createLog('ownership')
const deadHostTimeoutMs = 60_000

/**
 * Removes at most one row a call, and only on the live host whose id sorts first. The row of an owner or former owner of
 * an endpoint stays, because a missing row means that the host has stepped down.
 */
export async function removeDeadHostRow (
  hostId: string, liveness: SchedulerLiveness, snapshot: OwnershipSnapshot, writer: TableWriter, nowMs: number
): Promise<void> {
  const [firstLiveId] = liveness.listLive(nowMs).map(row => row.hostId).sort()
  const dead = firstLiveId === hostId ? liveness.listStalled(nowMs, deadHostTimeoutMs).find(row => !isOwnerOrFormerOwner(row, snapshot)) : undefined
  const version = dead && snapshot.hostVersions.get(dead.hostId)
  if (version === undefined) return
  const key = formatSchedulerKey(dead!.hostId)
  const result = await writer.write({ checks: [{ key, version }], writes: [{ key, value: null }] })
  if (result.verdict === 'applied') log('Removed the row of scheduler "%s", which has stopped renewing it.', dead!.hostId)
}

function isOwnerOrFormerOwner ({ hostId }: SchedulerRow, snapshot: OwnershipSnapshot): boolean {
  return [...snapshot.endpoints.values()].some(({ row }) =>
    row.owner?.hostId === hostId || row.former.some(former => former.hostId === hostId))
}
