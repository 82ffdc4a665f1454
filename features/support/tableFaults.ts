/** Table faults that need more than one switch, and an outcome lookup that does not fence the pending write. */
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { FindWriteOutcome } from '../../src/tasks/table/tableWriter.js'

/** Reads the token row without fencing, as if no write could still be in progress. */
export const findWriteOutcomeWithoutFencing: FindWriteOutcome = async (table, token) => {
  const [row] = await table.readRows([`tokens/${token}`])
  return row ? { verdict: 'applied', version: row.version } : { verdict: 'notApplied', cause: 'unavailable' }
}

/** Takes the table down at the moment when the next fault of the given kind occurs. */
export function takeTableDownOnFault (kind: 'lostAnswers' | 'lostWrites', faults: PlatformFaults): void {
  let remaining = faults[kind]
  Object.defineProperty(faults, kind, {
    get: () => remaining,
    set: (value: number) => {
      remaining = value
      faults.isTableDown = true
    }
  })
}
