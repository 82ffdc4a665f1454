/** Faults of the table that no single switch makes, and a writer that believes what it reads. */
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { FindFate } from '../../src/tasks/table/tableWriter.js'

/** Believes what it reads, as if nothing could be under way. */
export const readBackOnce: FindFate = async (table, token) => {
  const [row] = await table.readRows([`tokens/${token}`])
  return row ? { verdict: 'applied', version: row.version } : { verdict: 'notApplied', cause: 'unavailable' }
}

/** The table goes down in the same moment in which the next fault of a kind strikes. */
export function goDownWith (kind: 'lostAnswers' | 'lostWrites', faults: PlatformFaults): void {
  let left = faults[kind]
  Object.defineProperty(faults, kind, {
    get: () => left,
    set: (value: number) => {
      left = value
      faults.isTableDown = true
    }
  })
}
