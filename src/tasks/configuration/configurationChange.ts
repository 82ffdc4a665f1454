/** A change of the configuration, as an operator asks for it, and what becomes of it. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { configurationKindSchema, configurationRecordSchema, recordNameSchema } from '../../schemas/configuration.js'
import type { ConfigurationKind, ConfigurationRecord, RecordName, VersionedRecord } from '../../schemas/configuration.js'

export const recordVersionSchema = Type.Object({
  kind: configurationKindSchema,
  name: Type.String(),
  /** Configuration version that last changed the record; 0 means that the record must not exist. */
  version: Type.Integer({ minimum: 0 })
}, { additionalProperties: false })
export type RecordVersion = Static<typeof recordVersionSchema>

export const changeRequestSchema = Type.Object({
  puts: Type.Array(configurationRecordSchema),
  removes: Type.Array(recordNameSchema),
  /** The change holds only where these records still have these versions. */
  ifVersions: Type.Array(recordVersionSchema)
}, { additionalProperties: false })
/** Applied as a whole or not at all. */
export type ChangeRequest = Static<typeof changeRequestSchema>

/** What is wrong with one record of a change. */
export interface ChangeProblem {
  kind: ConfigurationKind
  name: string
  /** Stable, machine-readable name, such as `class_not_found`. */
  code: string
  message: string
}

/** A record that another change was faster to change. */
export interface ChangeConflict {
  kind: ConfigurationKind
  name: string
  /** Version of the record now; 0 where it does not exist. */
  version: number
  /** The record as the winner left it; undefined where it does not exist. */
  record: ConfigurationRecord | undefined
}

export type ChangeResult =
  /** In force here and on more than half of the schedulers; within seconds on every host that takes new work. */
  | { type: 'accepted', version: number }
  /** Written for good, but too few hosts have confirmed it; it comes into force as they reach the table. */
  | { type: 'unconfirmed', version: number, message: string }
  /** Nothing was changed: another change came first. */
  | { type: 'conflict', version: number, conflicts: ChangeConflict[] }
  /** Nothing was changed: the change is wrong in itself. */
  | { type: 'refused', problems: ChangeProblem[] }
  /** Nothing was changed: the table gives no answer. */
  | { type: 'unavailable', message: string, retryAfterMs: number }
  /** The table's answer was lost; the change may have been made. Read the records before trying again. */
  | { type: 'unknown', message: string }

/** How far a change that is under way has come on the host that makes it. */
export interface ChangeProgress {
  /** `reading`: brings this host up to date and checks; `writing`: writes to the table; `confirming`: waits until most schedulers have it in force. */
  step: 'reading' | 'writing' | 'confirming'
  /** Records that the change puts or removes. */
  records: number
  /** Records that the table holds by now; they take effect all at once, at the end. */
  writtenRecords: number
  /** Schedulers on the list, and those of them that have the change in force. */
  schedulers: number
  confirmedSchedulers: number
}

/** What the operators' port asks of the configuration. */
export interface ConfigurationOperations {
  /**
   * Changes records, all or none.
   *
   * @example
   * await configuration.changeRecords({ puts: [record], removes: [], ifVersions: [{ kind: 'class', name: 'counter', version: 3 }] })
   */
  changeRecords: (request: ChangeRequest) => Promise<ChangeResult>
  /** How far the change that this host makes now has come; undefined while it makes none. */
  describeChange: () => ChangeProgress | undefined
  /** Finds a record with its version, as in force on this host. */
  findRecord: (name: RecordName) => VersionedRecord | undefined
  /** Lists records of a kind in order of name, after the given name. */
  listVersioned: (kind: ConfigurationKind, after: string, limit: number) => VersionedRecord[]
}
