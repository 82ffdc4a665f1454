/** Reads the rows of ownership. */
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { createLog } from '../../createLog.js'
import { maxReadRows } from '../../ports/table.js'
import type { Table, TableRow } from '../../ports/table.js'
import { endpointRowSchema, formatEndpointKey, formatHostKey, hostRowSchema, ownershipPrefix } from '../../schemas/ownershipRows.js'
import type { EndpointRow, HostRow } from '../../schemas/ownershipRows.js'

const log = createLog('ownership')
const hostRowCheck = TypeCompiler.Compile(hostRowSchema)
const endpointRowCheck = TypeCompiler.Compile(endpointRowSchema)

export interface VersionedEndpointRow {
  row: EndpointRow
  version: number
}

export interface OwnershipRead {
  hosts: HostRow[]
  /** Versions of the hosts' rows, by host. */
  hostVersions: Map<string, number>
  /** By endpoint. */
  endpoints: Map<string, VersionedEndpointRow>
}

/** Reads every row of ownership; undefined where the table gives no answer. */
export async function readOwnershipRows (table: Table): Promise<OwnershipRead | undefined> {
  const read: OwnershipRead = { hosts: [], hostVersions: new Map(), endpoints: new Map() }
  try {
    for (let after = ''; ;) {
      const rows = await table.listRows({ prefix: ownershipPrefix, after, limit: maxReadRows })
      for (const row of rows) addRow(read, row)
      if (rows.length < maxReadRows) return read
      after = rows.at(-1)!.key
    }
  } catch {
    return undefined
  }
}

function addRow (read: OwnershipRead, { key, value, version }: TableRow): void {
  if (key.startsWith(formatHostKey('')) && hostRowCheck.Check(value)) {
    read.hosts.push(value)
    read.hostVersions.set(value.hostId, version)
  } else if (key.startsWith(formatEndpointKey('')) && endpointRowCheck.Check(value)) {
    read.endpoints.set(value.endpointId, { row: value, version })
  } else {
    log('Row "%s" of the table does not match its schema and is left out.', key)
  }
}
