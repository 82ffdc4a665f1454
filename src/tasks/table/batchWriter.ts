/** Batches the independent writes of a few milliseconds into one transaction, because the table counts transactions. */
import type { Clock, Timer } from '../../ports/clock.js'
import { maxWriteRows } from './tableWriter.js'
import type { TableWrite, TableWriter, WriteResult } from './tableWriter.js'

const batchDelayMs = 4
/** Most bytes of writes in one batch; below the limit of a transaction. */
const maxBatchBytes = 512 * 1024

export interface BatchWriterOptions {
  clock: Clock
  writer: Pick<TableWriter, 'write'>
  /** How long the first write of a batch waits for others; 0 sends each write in its own transaction. */
  delayMs?: number
}

interface QueuedWrite {
  write: TableWrite
  keys: string[]
  bytes: number
  resolve: (result: WriteResult) => void
}

/** Each write succeeds or fails by its own checks, independently of the other writes in its batch. */
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
   * Applies all writes of one call if all its checks hold; returns the same results as `TableWriter.write`.
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
    const batch = this.#dequeueBatch()
    this.#timer = this.#queue.length > 0 ? this.#clock.setTimer(() => this.#sendBatch(), 0) : undefined
    this.#executeBatch(batch).catch(() => {})
  }

  /** Removes writes on distinct rows from the queue; a later write on the same row must see the result of an earlier one. */
  #dequeueBatch (): QueuedWrite[] {
    const batch: QueuedWrite[] = []
    const remaining: QueuedWrite[] = []
    const keys = new Set<string>()
    let rows = 0
    let bytes = 0
    for (const queued of this.#queue) {
      const isFull = rows + queued.write.writes.length > maxWriteRows || bytes + queued.bytes > maxBatchBytes
      const mustBeSentAlone = batch.length > 0 && this.#delayMs === 0
      // The rows of a write that stays queued are also blocked, so that writes on one row keep their order.
      const hasSharedKey = queued.keys.some(key => keys.has(key))
      for (const key of queued.keys) keys.add(key)
      if (batch.length > 0 && (isFull || hasSharedKey || mustBeSentAlone)) {
        remaining.push(queued)
        continue
      }
      batch.push(queued)
      rows += queued.write.writes.length
      bytes += queued.bytes
    }
    this.#queue = remaining
    return batch
  }

  async #executeBatch (batch: QueuedWrite[]): Promise<void> {
    let pending = batch
    while (pending.length > 0) {
      const result = await this.#writer.write(mergeWrites(pending))
      if (result.verdict !== 'notApplied' || result.cause !== 'conflict') {
        for (const { resolve } of pending) resolve(result)
        return
      }
      const { conflicts } = result
      const versions = new Map(conflicts.map(row => [row.key, row.version]))
      const failed = pending.filter(queued => hasFailedCheck(queued.write, versions))
      // `conflicts` lists no absent rows: where no listed row explains the conflict, a checked row is absent.
      // Each write is then tried alone.
      const resolved = failed.length > 0 ? failed : pending.length === 1 ? pending : []
      for (const { write, resolve } of resolved) {
        resolve({ ...result, conflicts: conflicts.filter(row => write.checks.some(({ key }) => key === row.key)) })
      }
      if (resolved.length === 0) return await this.#executeOneByOne(pending)
      pending = pending.filter(queued => !resolved.includes(queued))
    }
  }

  async #executeOneByOne (batch: QueuedWrite[]): Promise<void> {
    for (const queued of batch) await this.#executeBatch([queued])
  }
}

function mergeWrites (batch: QueuedWrite[]): TableWrite {
  return { checks: batch.flatMap(({ write }) => write.checks), writes: batch.flatMap(({ write }) => write.writes) }
}

function hasFailedCheck (write: TableWrite, versions: Map<string, number>): boolean {
  return write.checks.some(({ key, version }) => versions.has(key) && versions.get(key) !== version)
}
