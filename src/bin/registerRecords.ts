/** Registers configuration records on a platform that has none, as an operator would. */
import VError from 'verror'
import { createSystemClock } from '../adapters/clock/systemClock.js'
import type { Table } from '../ports/table.js'
import type { ConfigurationRecord } from '../schemas/configuration.js'
import { ConfigurationTask } from '../tasks/configuration/configurationTask.js'

/**
 * Registers all records in one change. Throws if the change is refused.
 *
 * @example
 * await registerRecords(platform.table, exampleRecords)
 */
export async function registerRecords (table: Table, records: ConfigurationRecord[]): Promise<void> {
  const configuration = new ConfigurationTask({ hostId: 'registration', clock: createSystemClock(), table })
  await configuration.start()
  const result = await configuration.changeRecords({ puts: structuredClone(records), removes: [], ifVersions: [] })
  configuration.stop()
  if (result.type !== 'accepted') throw new VError('the records were not registered: %s', JSON.stringify(result))
}
