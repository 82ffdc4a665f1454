/** A row of the table that this process alone writes, with a write of it whose fate may be unknown. */
import type { PendingWrite, TableWriter, WriteResult } from '../table/tableWriter.js'

const resolveTimeoutMs = 500

interface PendingRow<Row> {
  write: PendingWrite
  row: Row
}

export class LeasedRow<Row> {
  #writer: TableWriter
  #row: Row | undefined
  #version: number
  #pending: PendingRow<Row> | undefined

  constructor (writer: TableWriter, row: Row | undefined, version: number) {
    this.#writer = writer
    this.#row = row
    this.#version = version
  }

  /** The row as it was last known to be written. */
  get row (): Row | undefined {
    return this.#row
  }

  get version (): number {
    return this.#version
  }

  /** The row that a write of unknown fate would leave. */
  get pendingRow (): Row | undefined {
    return this.#pending?.row
  }

  get pendingWrite (): PendingWrite | undefined {
    return this.#pending?.write
  }

  /** Takes the version of a row that another process wrote. */
  setVersion (version: number): void {
    this.#version = version
  }

  /** Keeps what became of a write of the row. */
  recordResult (row: Row, result: WriteResult): void {
    if (result.verdict === 'unknown') this.#pending = { write: result.pending, row }
    else this.#pending = undefined
    if (result.verdict !== 'applied') return
    this.#row = row
    this.#version = result.version
  }

  /** Finds out about the write of unknown fate; false where nobody can tell yet, so that no other write may follow. */
  async settle (): Promise<boolean> {
    if (!this.#pending) return true
    const { write, row } = this.#pending
    this.recordResult(row, await this.#writer.resolve(write, resolveTimeoutMs))
    return this.#pending === undefined
  }
}
