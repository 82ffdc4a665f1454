/** A row of the table that only this process writes, and its last write where the outcome of that is unknown. */
import type { PendingWrite, TableWriter, WriteResult } from '../table/tableWriter.js'

const outcomeTimeoutMs = 500

interface PendingRow<Row> {
  write: PendingWrite
  row: Row
}

export class SingleWriterRow<Row> {
  #writer: TableWriter
  #row: Row | undefined
  #version: number
  #pending: PendingRow<Row> | undefined

  constructor (writer: TableWriter, row: Row | undefined, version: number) {
    this.#writer = writer
    this.#row = row
    this.#version = version
  }

  /** The row as written by the last write that is known to be applied. */
  get row (): Row | undefined {
    return this.#row
  }

  get version (): number {
    return this.#version
  }

  /** The new row of the write whose outcome is unknown. */
  get pendingRow (): Row | undefined {
    return this.#pending?.row
  }

  get pendingWrite (): PendingWrite | undefined {
    return this.#pending?.write
  }

  /** Sets the version to check against where another process has written the row. */
  setVersion (version: number): void {
    this.#version = version
  }

  /** Records the outcome of a write of the row. */
  recordResult (row: Row, result: WriteResult): void {
    if (result.verdict === 'unknown') this.#pending = { write: result.pending, row }
    else this.#pending = undefined
    if (result.verdict !== 'applied') return
    this.#row = row
    this.#version = result.version
  }

  /** Finds the outcome of the pending write; false while it is still unknown, and then the row must not be written again. */
  async resolvePendingWrite (): Promise<boolean> {
    if (!this.#pending) return true
    const { write, row } = this.#pending
    this.recordResult(row, await this.#writer.resolve(write, outcomeTimeoutMs))
    return this.#pending === undefined
  }
}
