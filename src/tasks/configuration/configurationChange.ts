/** A change of the configuration as requested by an operator, and its result. */
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
  /** The change is applied only if these records still have these versions. */
  ifVersions: Type.Array(recordVersionSchema)
}, { additionalProperties: false })
/** Applied as a whole or not at all. */
export type ChangeRequest = Static<typeof changeRequestSchema>

/** A validation error of one record of a change. */
export interface ChangeProblem {
  kind: ConfigurationKind
  name: string
  /** Stable, machine-readable name, such as `class_not_found`. */
  code: string
  message: string
}

/** A record whose version differs from the expected one, as another change was applied first. */
export interface ChangeConflict {
  kind: ConfigurationKind
  name: string
  /** Current version of the record; 0 if it does not exist. */
  version: number
  /** The current record; undefined if it does not exist. */
  record: ConfigurationRecord | undefined
}

export type ChangeResult =
  /** In force on this host and on more than half of the schedulers; within seconds on every host that accepts new requests. */
  | { type: 'accepted', version: number }
  /** Durably written, but too few schedulers have confirmed it; it comes into force on each host as it reads the table. */
  | { type: 'unconfirmed', version: number, message: string }
  /** Nothing was changed: another change was applied first. */
  | { type: 'conflict', version: number, conflicts: ChangeConflict[] }
  /** Nothing was changed: the change is invalid. */
  | { type: 'refused', problems: ChangeProblem[] }
  /** Nothing was changed: the table did not respond. */
  | { type: 'unavailable', message: string, retryAfterMs: number }
  /** The table's response was lost; the change may have been made. Read the records before trying again. */
  | { type: 'unknown', message: string }

/** Progress of a change on the host that makes it. */
export interface ChangeProgress {
  /**
   * `reading`: updates this host from the table and validates the change; `writing`: writes to the table; `confirming`: waits
   * until most schedulers have it in force.
   */
  step: 'reading' | 'writing' | 'confirming'
  /** Number of records that the change puts or removes. */
  records: number
  /** Number of records written to the table so far; they take effect all at once, at the end. */
  writtenRecords: number
  /** Number of schedulers in the host list. */
  schedulers: number
  /** Number of those schedulers that have the change in force. */
  confirmedSchedulers: number
}

/** Operations on the configuration that the operators' API uses. */
export interface ConfigurationOperations {
  /**
   * Changes all of the records or none.
   *
   * @example
   * await configuration.changeRecords({ puts: [record], removes: [], ifVersions: [{ kind: 'class', name: 'counter', version: 3 }] })
   */
  changeRecords: (request: ChangeRequest) => Promise<ChangeResult>
  /** Describes the progress of the change that this host is making; undefined if it is making none. */
  describeChange: () => ChangeProgress | undefined
  /** Finds a record in force on this host, with its version. */
  findRecord: (name: RecordName) => VersionedRecord | undefined
  /** Lists records of a kind, sorted by name, from the first name after `after`. */
  listVersioned: (kind: ConfigurationKind, after: string, limit: number) => VersionedRecord[]
}
