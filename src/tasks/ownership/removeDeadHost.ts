/** Removes renewal rows of schedulers that are gone for good. */
import { createLog } from '../../createLog.js'
import type { OwnershipWatch } from '../../core/ownershipWatch.js'
import { formatHostKey } from '../../schemas/ownershipRows.js'
import type { HostRow } from '../../schemas/ownershipRows.js'
import type { TableWriter } from '../table/tableWriter.js'
import type { OwnershipRead } from './ownershipRead.js'

const log = createLog('ownership')
const deadAfterMs = 60_000

/**
 * Removes one row at most, and only on the host whose name comes first. A row that an endpoint names as its owner or
 * former owner stays: its absence would tell that the host has stepped down.
 */
export async function removeDeadHost (
  hostId: string, watch: OwnershipWatch, read: OwnershipRead, writer: TableWriter, nowMs: number
): Promise<void> {
  const [first] = watch.listLive(nowMs).map(row => row.hostId).sort()
  const dead = first === hostId ? watch.listStill(nowMs, deadAfterMs).find(row => !isNamed(row, read)) : undefined
  const version = dead && read.hostVersions.get(dead.hostId)
  if (version === undefined) return
  const key = formatHostKey(dead!.hostId)
  const result = await writer.write({ checks: [{ key, version }], writes: [{ key, value: null }] })
  if (result.verdict === 'applied') log('Scheduler "%s" has been gone for long; its row was removed.', dead!.hostId)
}

function isNamed ({ hostId }: HostRow, read: OwnershipRead): boolean {
  return [...read.endpoints.values()].some(({ row }) =>
    row.owner?.hostId === hostId || row.former.some(former => former.hostId === hostId))
}
