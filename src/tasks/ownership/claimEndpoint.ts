/** Claims an unowned endpoint. */
import { formatEndpointKey } from '../../schemas/ownershipRows.js'
import type { EndpointRow, Holder } from '../../schemas/ownershipRows.js'
import type { HostLease, HostLeaseContent } from './hostLease.js'
import type { VersionedEndpointRow } from './ownershipSnapshot.js'

/**
 * Writes this host as owner into the endpoint's row and adds the lease to the host's own row, in one transaction, so that
 * a host row without the lease proves that the host does not hold it. Resolves to undefined where the claim is not known
 * to have been applied.
 */
export async function claimEndpoint (
  host: HostLease, content: HostLeaseContent, holder: Holder, endpointId: string, found: VersionedEndpointRow | undefined
): Promise<VersionedEndpointRow | undefined> {
  const row = createClaimedRow(holder, endpointId, found?.row)
  const key = formatEndpointKey(endpointId)
  const result = await host.write(
    { ...content, held: [...content.held, { endpointId, fencing: row.fencing }] },
    { checks: [{ key, version: found?.version ?? 0 }], writes: [{ key, value: row }] })
  return result.verdict === 'applied' ? { row, version: result.version } : undefined
}

function createClaimedRow (holder: Holder, endpointId: string, previous: EndpointRow | undefined): EndpointRow {
  const former = [...previous?.former ?? []]
  if (previous?.owner) former.push({ ...previous.owner, fencing: previous.fencing })
  return { endpointId, owner: holder, fencing: (previous?.fencing ?? 0) + 1, adoptable: previous?.adoptable ?? [], former }
}
