/** Gathers independent writes of a few milliseconds into one transaction, because the table counts transactions. */
import type { Clock, Timer } from '../../ports/clock.js'
import { maxWriteRows } from './tableWriter.js'
import type { TableWrite, TableWriter, WriteResult } from './tableWriter.js'

const batchDelayMs = 4
/** Bytes of the writes of one batch; leaves room within a transaction. */
const maxBatchBytes = 512 * 1024

export interface BatchWriterOptions {
  clock: Clock
  writer: Pick<TableWriter, 'write'>
  /** How long the first write of a batch waits for others; 0 sends each write alone. */
  delayMs?: number
}

interface QueuedWrite {
  write: TableWrite
  keys: string[]
  bytes: number
  resolve: (result: WriteResult) => void
}

/** Each write succeeds or fails by its own checks, whatever else is in its batch. */
export class BatchWriter {
  #clock: Clock
  #writer: Pick<TableWriter, 'write'>
  #delayMs: number
  #queue: QueuedWrite[] = []
  #timer: Timer | undefined

  constructor (options: BatchWriterOptions) {
    this.#clock = options.clock
    this.#writer = options.writer
    this.#delayMs = options.delayMs ?? batchDelayMs
  }

  /**
   * Applies all writes of one call if all its checks hold; results are those of `TableWriter.write`.
   *
   * @example
   * const result = await batches.write({ checks: [{ key, version: 0 }], writes: [{ key, value }] })
   */
  async write (write: TableWrite): Promise<WriteResult> {
    return await new Promise<WriteResult>(resolve => {
      const keys = [...write.checks, ...write.writes].map(({ key }) => key)
      this.#queue.push({ write, keys, bytes: Buffer.byteLength(JSON.stringify(write.writes)), resolve })
      this.#timer ??= this.#clock.setTimer(() => this.#sendBatch(), this.#delayMs)
    })
  }

  #sendBatch (): void {
    const batch = this.#takeBatch()
    this.#timer = this.#queue.length > 0 ? this.#clock.setTimer(() => this.#sendBatch(), 0) : undefined
    this.#carryOut(batch).catch(() => {})
  }

  /** Takes writes that touch different rows: two that touch the same row must see each other. */
  #takeBatch (): QueuedWrite[] {
    const batch: QueuedWrite[] = []
    const left: QueuedWrite[] = []
    const keys = new Set<string>()
    let rows = 0
    let bytes = 0
    for (const queued of this.#queue) {
      const isFull = rows + queued.write.writes.length > maxWriteRows || bytes + queued.bytes > maxBatchBytes
      const isAlone = batch.length > 0 && this.#delayMs === 0
      // Whatever stays behind keeps its rows to itself, so that writes to one row keep their order.
      const isTaken = queued.keys.some(key => keys.has(key))
      for (const key of queued.keys) keys.add(key)
      if (batch.length > 0 && (isFull || isTaken || isAlone)) {
        left.push(queued)
        continue
      }
      batch.push(queued)
      rows += queued.write.writes.length
      bytes += queued.bytes
    }
    this.#queue = left
    return batch
  }

  async #carryOut (batch: QueuedWrite[]): Promise<void> {
    let open = batch
    while (open.length > 0) {
      const result = await this.#writer.write(joinWrites(open))
      if (result.verdict !== 'notApplied' || result.cause !== 'conflict') {
        for (const { resolve } of open) resolve(result)
        return
      }
      const { conflicts } = result
      const versions = new Map(conflicts.map(row => [row.key, row.version]))
      const failed = open.filter(queued => hasFailed(queued.write, versions))
      // A conflict that no check explains can only come from a row that has gone; each write is then tried alone.
      const settled = failed.length > 0 ? failed : open.length === 1 ? open : []
      for (const { write, resolve } of settled) {
        resolve({ ...result, conflicts: conflicts.filter(row => write.checks.some(({ key }) => key === row.key)) })
      }
      if (settled.length === 0) return await this.#carryOutAlone(open)
      open = open.filter(queued => !settled.includes(queued))
    }
  }

  async #carryOutAlone (batch: QueuedWrite[]): Promise<void> {
    for (const queued of batch) await this.#carryOut([queued])
  }
}

function joinWrites (batch: QueuedWrite[]): TableWrite {
  return { checks: batch.flatMap(({ write }) => write.checks), writes: batch.flatMap(({ write }) => write.writes) }
}

function hasFailed (write: TableWrite, versions: Map<string, number>): boolean {
  return write.checks.some(({ key, version }) => versions.has(key) && versions.get(key) !== version)
}
