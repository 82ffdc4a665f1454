/** Reads the ownership rows of hosts and endpoints. */
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { createLog } from '../../createLog.js'
import { maxReadRows } from '../../ports/table.js'
import type { Table, TableRow } from '../../ports/table.js'
import { endpointRowSchema, formatEndpointKey, formatSchedulerKey, schedulerRowSchema, ownershipPrefix } from '../../schemas/ownershipRows.js'
import type { EndpointRow, SchedulerRow } from '../../schemas/ownershipRows.js'

const log = createLog('ownership')
const hostRowValidator = TypeCompiler.Compile(schedulerRowSchema)
const endpointRowValidator = TypeCompiler.Compile(endpointRowSchema)

export interface VersionedEndpointRow {
  row: EndpointRow
  version: number
}

export interface OwnershipSnapshot {
  hosts: SchedulerRow[]
  /** Versions of the host rows, by host id. */
  hostVersions: Map<string, number>
  /** By endpoint id. */
  endpoints: Map<string, VersionedEndpointRow>
}

/** Reads all ownership rows; resolves to undefined where the table does not respond. */
export async function readOwnershipRows (table: Table): Promise<OwnershipSnapshot | undefined> {
  const snapshot: OwnershipSnapshot = { hosts: [], hostVersions: new Map(), endpoints: new Map() }
  try {
    for (let after = ''; ;) {
      const rows = await table.listRows({ prefix: ownershipPrefix, after, limit: maxReadRows })
      for (const row of rows) addRow(snapshot, row)
      if (rows.length < maxReadRows) return snapshot
      after = rows.at(-1)!.key
    }
  } catch {
    return undefined
  }
}

function addRow (snapshot: OwnershipSnapshot, { key, value, version }: TableRow): void {
  if (key.startsWith(formatSchedulerKey('')) && hostRowValidator.Check(value)) {
    snapshot.hosts.push(value)
    snapshot.hostVersions.set(value.hostId, version)
  } else if (key.startsWith(formatEndpointKey('')) && endpointRowValidator.Check(value)) {
    snapshot.endpoints.set(value.endpointId, { row: value, version })
  } else {
    log('Ignored row "%s" of the table: it does not match its schema.', key)
  }
}
