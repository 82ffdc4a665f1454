/** Takes a free endpoint. */
import { formatEndpointKey } from '../../schemas/ownershipRows.js'
import type { EndpointRow, Holder } from '../../schemas/ownershipRows.js'
import type { HostLease, HostLeaseContent } from './hostLease.js'
import type { VersionedEndpointRow } from './ownershipRead.js'

/**
 * Writes this host into the endpoint's row, and the lease into its own row, in one transaction: whoever reads that
 * the host does not hold the lease can rely on it. Resolves to undefined where the endpoint was not taken.
 */
export async function takeEndpoint (
  host: HostLease, content: HostLeaseContent, holder: Holder, endpointId: string, found: VersionedEndpointRow | undefined
): Promise<VersionedEndpointRow | undefined> {
  const row = createTakenRow(holder, endpointId, found?.row)
  const key = formatEndpointKey(endpointId)
  const result = await host.write(
    { ...content, held: [...content.held, { endpointId, fencing: row.fencing }] },
    { checks: [{ key, version: found?.version ?? 0 }], writes: [{ key, value: row }] })
  return result.verdict === 'applied' ? { row, version: result.version } : undefined
}

function createTakenRow (holder: Holder, endpointId: string, before: EndpointRow | undefined): EndpointRow {
  const former = [...before?.former ?? []]
  if (before?.owner) former.push({ ...before.owner, fencing: before.fencing })
  return { endpointId, owner: holder, fencing: (before?.fencing ?? 0) + 1, adoptable: before?.adoptable ?? [], former }
}
