/** A table that counts what is asked of it. */
import type { Table } from '../../src/ports/table.js'

export interface CallCounts {
  reads: number
  writes: number
}

/** Passes each call on to a table and counts it. */
export function countCalls (table: Table, counts: CallCounts): Table {
  return {
    readRows: async keys => {
      counts.reads++
      return await table.readRows(keys)
    },
    listRows: async range => {
      counts.reads++
      return await table.listRows(range)
    },
    transact: async transaction => {
      counts.writes++
      return await table.transact(transaction)
    }
  }
}
