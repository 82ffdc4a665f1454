/** The configuration as rows of the table: a head, a log of changes and snapshots. */
import { randomUUID } from 'node:crypto'
import { Type } from '@sinclair/typebox'
import type { Static, TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import VError from 'verror'
import { maxReadRows } from '../../ports/table.js'
import type { Table, TableRow } from '../../ports/table.js'
import { configurationChangeSchema, configurationRecordSchema } from '../../schemas/configuration.js'
import type { ConfigurationChange, VersionedRecord } from '../../schemas/configuration.js'
import { maxWriteRows } from '../table/tableWriter.js'
import type { TableWriter, WriteResult } from '../table/tableWriter.js'

const headKey = 'configuration/head'
const changePrefix = 'configuration/changes/'
const partPrefix = 'configuration/parts/'
/** Maximum size of the records in one row. A single larger record gets a row of its own. */
const maxPartBytes = 128 * 1024
/** Maximum number of part rows in one transaction or one read. */
const maxPartsPerTransaction = 6
const maxSnapshotReadAttempts = 5

const partsSchema = Type.Object({ id: Type.String(), count: Type.Integer() })
const headValueSchema = Type.Object({
  version: Type.Integer(),
  /** All records as of a version. Newer changes are applied on top of it. */
  snapshot: Type.Optional(Type.Object({ version: Type.Integer(), parts: partsSchema }))
})
const changeValueSchema = Type.Object({
  ...configurationChangeSchema.properties,
  /** Set if the change is large: its records are then stored in separate rows. */
  parts: Type.Optional(partsSchema)
})
const partValueSchema = Type.Object({
  records: Type.Array(Type.Object({ version: Type.Integer(), record: configurationRecordSchema }))
})
type Parts = Static<typeof partsSchema>
type HeadValue = Static<typeof headValueSchema>

/** The head row as read, with its row version. */
export interface ConfigurationHead extends HeadValue {
  rowVersion: number
}

export interface ConfigurationSnapshot {
  version: number
  records: VersionedRecord[]
}

/** Stores the configuration in the table. Reads reject with a `PlatformUnavailable` error if the table does not respond. */
export class ConfigurationStore {
  #table: Table
  #writer: TableWriter

  constructor (table: Table, writer: TableWriter) {
    this.#table = table
    this.#writer = writer
  }

  async readHead (): Promise<ConfigurationHead> {
    const [row] = await this.#table.readRows([headKey])
    return row ? { ...decodeRowValue(headValueSchema, row), rowVersion: row.version } : { version: 0, rowVersion: 0 }
  }

  /** Reads the changes that follow a version, in order, up to the first gap; missing changes are only in a snapshot. */
  async readChanges (afterVersion: number): Promise<ConfigurationChange[]> {
    const rows = await this.#table.listRows({ prefix: changePrefix, after: formatChangeKey(afterVersion), limit: maxReadRows })
    const changes: ConfigurationChange[] = []
    for (const row of rows) {
      const { parts, ...change } = decodeRowValue(changeValueSchema, row)
      if (change.version !== afterVersion + changes.length + 1) break
      changes.push(parts ? { ...change, puts: (await this.#readParts(parts)).map(({ record }) => record) } : change)
    }
    return changes
  }

  /** Reads the snapshot that the head row refers to; undefined if there is none. */
  async readSnapshot (): Promise<ConfigurationSnapshot | undefined> {
    for (let attempt = 0; attempt < maxSnapshotReadAttempts; attempt++) {
      const { snapshot } = await this.readHead()
      if (!snapshot) return undefined
      const records = await this.#readParts(snapshot.parts).catch(ignoreRemovedParts)
      if (records) return { version: snapshot.version, records }
    }
    throw new VError('the snapshot of the configuration was replaced during each of %d reads', maxSnapshotReadAttempts)
  }

  /** Writes the change that follows the head, atomically. For a large change, reports how many records are written so far. */
  async writeChange (
    head: ConfigurationHead, change: ConfigurationChange, reportWritten: (records: number) => void = () => {}
  ): Promise<WriteResult> {
    const isLarge = computeJsonBytes(change) > maxPartBytes
    const value = isLarge
      ? await this.#writeParts(change.puts.map(record => ({ version: change.version, record })), reportWritten)
      : undefined
    if (value && !value.parts) return value.result
    const row = value ? { ...change, puts: [], parts: value.parts } : change
    return await this.#writer.write({
      checks: [{ key: headKey, version: head.rowVersion }, { key: formatChangeKey(change.version), version: 0 }],
      writes: [
        { key: headKey, value: { version: change.version, ...(head.snapshot && { snapshot: head.snapshot }) } },
        { key: formatChangeKey(change.version), value: row }
      ]
    })
  }

  /**
   * Replaces the snapshot by a newer one, then removes the rows that are no longer needed. Returns false if the snapshot was
   * not written, e.g. because another host changed the head first.
   */
  async writeSnapshot (head: ConfigurationHead, records: VersionedRecord[]): Promise<boolean> {
    const unusedKeys = await this.#listUnusedKeys(head)
    const written = await this.#writeParts(records)
    if (!written.parts) return false
    const value: HeadValue = { version: head.version, snapshot: { version: head.version, parts: written.parts } }
    const result = await this.#writer.write({
      checks: [{ key: headKey, version: head.rowVersion }], writes: [{ key: headKey, value }]
    })
    if (result.verdict !== 'applied') return false
    for (let index = 0; index < unusedKeys.length; index += maxWriteRows) {
      const writes = unusedKeys.slice(index, index + maxWriteRows).map(key => ({ key, value: null }))
      await this.#writer.write({ checks: [], writes })
    }
    return true
  }

  /**
   * Lists the keys of rows that are not needed once the snapshot is replaced: changes that the old snapshot includes, and
   * parts that no later change refers to. Such parts may belong to a write that is still in progress; its writer read the
   * head before it was replaced, so its commit fails on the version of the head row.
   */
  async #listUnusedKeys (head: ConfigurationHead): Promise<string[]> {
    const changes = await this.#listAllRows(changePrefix)
    const isInOldSnapshot = (row: TableRow): boolean => decodeRowValue(changeValueSchema, row).version <= (head.snapshot?.version ?? 0)
    const usedPartsIds = new Set(changes.filter(row => !isInOldSnapshot(row)).map(row => decodeRowValue(changeValueSchema, row).parts?.id))
    const parts = await this.#listAllRows(partPrefix)
    return [
      ...changes.filter(isInOldSnapshot).map(row => row.key),
      ...parts.map(row => row.key).filter(key => !usedPartsIds.has(key.slice(partPrefix.length).split('/')[0]))
    ]
  }

  async #listAllRows (prefix: string): Promise<TableRow[]> {
    const rows: TableRow[] = []
    for (;;) {
      const page = await this.#table.listRows({ prefix, after: rows.at(-1)?.key ?? '', limit: maxReadRows })
      rows.push(...page)
      if (page.length < maxReadRows) return rows
    }
  }

  async #writeParts (
    records: VersionedRecord[], reportWritten: (records: number) => void = () => {}
  ): Promise<{ parts: Parts } | { parts: undefined, result: WriteResult }> {
    const parts = { id: randomUUID(), count: 0 }
    const rows = splitRecords(records).map(part => ({ key: formatPartKey(parts, parts.count++), value: { records: part } }))
    for (let index = 0; index < rows.length; index += maxPartsPerTransaction) {
      const result = await this.#writer.write({ checks: [], writes: rows.slice(index, index + maxPartsPerTransaction) })
      // Parts have no effect until a change or snapshot refers to them, so a lost response here is treated as a failure.
      if (result.verdict !== 'applied') return { parts: undefined, result: { verdict: 'notApplied', cause: 'unavailable' } }
      reportWritten(rows.slice(0, index + maxPartsPerTransaction).reduce((sum, row) => sum + row.value.records.length, 0))
    }
    return { parts }
  }

  async #readParts (parts: Parts): Promise<VersionedRecord[]> {
    const records: VersionedRecord[] = []
    for (let index = 0; index < parts.count; index += maxPartsPerTransaction) {
      const count = Math.min(maxPartsPerTransaction, parts.count - index)
      const keys = Array.from({ length: count }, (_, offset) => formatPartKey(parts, index + offset))
      const rows = await this.#table.readRows(keys)
      if (rows.length < count) throw new VError({ name: partsRemovedErrorName }, 'parts "%s" of the configuration were removed', parts.id)
      for (const key of keys) records.push(...decodeRowValue(partValueSchema, rows.find(row => row.key === key)!).records)
    }
    return records
  }
}

const partsRemovedErrorName = 'PartsRemoved'

function ignoreRemovedParts (error: Error): undefined {
  if (!VError.hasCauseWithName(error, partsRemovedErrorName)) throw error
}

function decodeRowValue<T extends TSchema> (schema: T, row: TableRow): Static<T> {
  if (!Value.Check(schema, row.value)) throw new VError('row "%s" does not match its schema', row.key)
  return row.value as Static<T>
}

function formatChangeKey (version: number): string {
  return `${changePrefix}${String(version).padStart(12, '0')}`
}

function formatPartKey (parts: Parts, index: number): string {
  return `${partPrefix}${parts.id}/${String(index).padStart(6, '0')}`
}

function computeJsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

function splitRecords (records: VersionedRecord[]): VersionedRecord[][] {
  const parts: VersionedRecord[][] = []
  let bytes = maxPartBytes
  for (const record of records) {
    const recordBytes = computeJsonBytes(record)
    if (bytes + recordBytes > maxPartBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)!.push(record)
    bytes += recordBytes
  }
  return parts
}
