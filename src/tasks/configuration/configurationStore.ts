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
/** Bytes of the records in one row. */
const maxPartBytes = 128 * 1024
/** Rows of parts that one transaction or one read takes. */
const partsPerTransaction = 6
const maxSnapshotReads = 5

const partsSchema = Type.Object({ id: Type.String(), count: Type.Integer() })
const headValueSchema = Type.Object({
  version: Type.Integer(),
  /** All records as of a version; the changes after it follow. */
  snapshot: Type.Optional(Type.Object({ version: Type.Integer(), parts: partsSchema }))
})
const changeValueSchema = Type.Object({
  ...configurationChangeSchema.properties,
  /** Where the change is large, its records stand in rows of their own. */
  parts: Type.Optional(partsSchema)
})
const partValueSchema = Type.Object({
  records: Type.Array(Type.Object({ version: Type.Integer(), record: configurationRecordSchema }))
})
type Parts = Static<typeof partsSchema>
type HeadValue = Static<typeof headValueSchema>

/** The head row as it was read. */
export interface ConfigurationHead extends HeadValue {
  rowVersion: number
}

export interface ConfigurationSnapshot {
  version: number
  records: VersionedRecord[]
}

/** Reads reject with a `PlatformUnavailable` error where the table gives no answer. */
export class ConfigurationStore {
  #table: Table
  #writer: TableWriter

  constructor (table: Table, writer: TableWriter) {
    this.#table = table
    this.#writer = writer
  }

  async readHead (): Promise<ConfigurationHead> {
    const [row] = await this.#table.readRows([headKey])
    return row ? { ...readValue(headValueSchema, row), rowVersion: row.version } : { version: 0, rowVersion: 0 }
  }

  /** Reads the changes after a version in order; fewer where the next ones are already part of a snapshot alone. */
  async readChanges (after: number): Promise<ConfigurationChange[]> {
    const rows = await this.#table.listRows({ prefix: changePrefix, after: formatChangeKey(after), limit: maxReadRows })
    const changes: ConfigurationChange[] = []
    for (const row of rows) {
      const { parts, ...change } = readValue(changeValueSchema, row)
      if (change.version !== after + changes.length + 1) break
      changes.push(parts ? { ...change, puts: (await this.#readParts(parts)).map(({ record }) => record) } : change)
    }
    return changes
  }

  /** Reads the snapshot that the head names; undefined where there is none. */
  async readSnapshot (): Promise<ConfigurationSnapshot | undefined> {
    for (let reads = 0; reads < maxSnapshotReads; reads++) {
      const { snapshot } = await this.readHead()
      if (!snapshot) return undefined
      const records = await this.#readParts(snapshot.parts).catch(handleRemovedParts)
      if (records) return { version: snapshot.version, records }
    }
    throw new VError('the snapshot of the configuration was replaced %d times while it was read', maxSnapshotReads)
  }

  /** Writes the change that follows the head, all of it or nothing; tells how many records of a large one are written. */
  async writeChange (
    head: ConfigurationHead, change: ConfigurationChange, receiveWritten: (records: number) => void = () => {}
  ): Promise<WriteResult> {
    const isLarge = measureBytes(change) > maxPartBytes
    const value = isLarge
      ? await this.#writeParts(change.puts.map(record => ({ version: change.version, record })), receiveWritten)
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

  /** Replaces the snapshot by a newer one, then removes what nobody needs any longer; false where another was faster. */
  async writeSnapshot (head: ConfigurationHead, records: VersionedRecord[]): Promise<boolean> {
    const unused = await this.#listUnused(head)
    const written = await this.#writeParts(records)
    if (!written.parts) return false
    const value: HeadValue = { version: head.version, snapshot: { version: head.version, parts: written.parts } }
    const result = await this.#writer.write({
      checks: [{ key: headKey, version: head.rowVersion }], writes: [{ key: headKey, value }]
    })
    if (result.verdict !== 'applied') return false
    for (let index = 0; index < unused.length; index += maxWriteRows) {
      const writes = unused.slice(index, index + maxWriteRows).map(key => ({ key, value: null }))
      await this.#writer.write({ checks: [], writes })
    }
    return true
  }

  /**
   * Rows that nobody needs once the snapshot is replaced: changes before the old snapshot, and parts that no later change
   * names. Whoever wrote such parts read the head before, so that its commit fails on the head.
   */
  async #listUnused (head: ConfigurationHead): Promise<string[]> {
    const changes = await this.#listAll(changePrefix)
    const isOld = (row: TableRow): boolean => readValue(changeValueSchema, row).version <= (head.snapshot?.version ?? 0)
    const used = new Set(changes.filter(row => !isOld(row)).map(row => readValue(changeValueSchema, row).parts?.id))
    const parts = await this.#listAll(partPrefix)
    return [
      ...changes.filter(isOld).map(row => row.key),
      ...parts.map(row => row.key).filter(key => !used.has(key.slice(partPrefix.length).split('/')[0]))
    ]
  }

  async #listAll (prefix: string): Promise<TableRow[]> {
    const rows: TableRow[] = []
    for (;;) {
      const page = await this.#table.listRows({ prefix, after: rows.at(-1)?.key ?? '', limit: maxReadRows })
      rows.push(...page)
      if (page.length < maxReadRows) return rows
    }
  }

  async #writeParts (
    records: VersionedRecord[], receiveWritten: (records: number) => void = () => {}
  ): Promise<{ parts: Parts } | { parts: undefined, result: WriteResult }> {
    const parts = { id: randomUUID(), count: 0 }
    const rows = splitRecords(records).map(part => ({ key: formatPartKey(parts, parts.count++), value: { records: part } }))
    for (let index = 0; index < rows.length; index += partsPerTransaction) {
      const result = await this.#writer.write({ checks: [], writes: rows.slice(index, index + partsPerTransaction) })
      // Parts that no change names have no effect, so that a lost answer here is as good as a failure.
      if (result.verdict !== 'applied') return { parts: undefined, result: { verdict: 'notApplied', cause: 'unavailable' } }
      receiveWritten(rows.slice(0, index + partsPerTransaction).reduce((sum, row) => sum + row.value.records.length, 0))
    }
    return { parts }
  }

  async #readParts (parts: Parts): Promise<VersionedRecord[]> {
    const records: VersionedRecord[] = []
    for (let index = 0; index < parts.count; index += partsPerTransaction) {
      const count = Math.min(partsPerTransaction, parts.count - index)
      const keys = Array.from({ length: count }, (_, offset) => formatPartKey(parts, index + offset))
      const rows = await this.#table.readRows(keys)
      if (rows.length < count) throw new VError({ name: partsRemovedName }, 'parts "%s" of the configuration were removed', parts.id)
      for (const key of keys) records.push(...readValue(partValueSchema, rows.find(row => row.key === key)!).records)
    }
    return records
  }
}

const partsRemovedName = 'PartsRemoved'

function handleRemovedParts (error: Error): undefined {
  if (!VError.hasCauseWithName(error, partsRemovedName)) throw error
}

function readValue<T extends TSchema> (schema: T, row: TableRow): Static<T> {
  if (!Value.Check(schema, row.value)) throw new VError('row "%s" does not match its schema', row.key)
  return row.value as Static<T>
}

function formatChangeKey (version: number): string {
  return `${changePrefix}${String(version).padStart(12, '0')}`
}

function formatPartKey (parts: Parts, index: number): string {
  return `${partPrefix}${parts.id}/${String(index).padStart(6, '0')}`
}

function measureBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

function splitRecords (records: VersionedRecord[]): VersionedRecord[][] {
  const parts: VersionedRecord[][] = []
  let bytes = maxPartBytes
  for (const record of records) {
    const recordBytes = measureBytes(record)
    if (bytes + recordBytes > maxPartBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)!.push(record)
    bytes += recordBytes
  }
  return parts
}
