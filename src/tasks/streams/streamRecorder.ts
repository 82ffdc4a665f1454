/** Writes where streams were begun to the store, for many hosts and in batches, as each call of the store counts. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import { encodeStreamOrigin, streamsTable } from '../../schemas/streamRows.js'
import type { StreamRecord, StreamRecordsSaved } from '../../schemas/streamRows.js'

export interface StreamRecorderOptions {
  clock: Clock
  log: EventLog
  /** Runs a transaction at the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Number of hosts that write records, this one included. */
  countRecorders: () => number
}

/** Minimum time between two writes; a stream whose record is not written yet cannot be taken up if all hosts end. */
const minWriteIntervalMs = 20
/** Writes a second of all recorders together, of the 400 that the store takes. */
const maxWritesPerSecond = 100
/** Delay before a failed write is tried again. */
const retryMs = 300
/** Entries in one transaction; the store accepts 100. */
const maxEntries = 100
/** Records and removals that wait for the store; the oldest are dropped, and their streams cannot be taken up elsewhere. */
const maxWaiting = 4096

interface WaitingRecord {
  /** Undefined if the row is to be removed. */
  record: StreamRecord | undefined
  confirm: (keys: readonly string[]) => void
}

export class StreamRecorder {
  #options: StreamRecorderOptions
  /** Records and removals to be written, by key. */
  #waiting = new Map<string, WaitingRecord>()
  #isWriting = false
  #isStopped = false
  #timer: Timer | undefined

  constructor (options: StreamRecorderOptions) {
    this.#options = options
  }

  /** Writes records; `reply` sends the confirmation to the host that sent them. */
  receiveRecords (records: readonly StreamRecord[], reply: (saved: StreamRecordsSaved) => void): void {
    const confirm = (keys: readonly string[]): void => reply({ type: 'streamsSaved', keys: [...keys] })
    for (const record of records) this.#queue(record.key, { record, confirm })
  }

  /** Removes rows with one of the next writes. */
  remove (keys: readonly string[]): void {
    for (const key of keys) this.#queue(key, { record: undefined, confirm: () => {} })
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  #queue (key: string, waiting: WaitingRecord): void {
    // A record that is sent again keeps its turn.
    this.#waiting.set(key, waiting)
    if (this.#waiting.size > maxWaiting) this.#waiting.delete(this.#waiting.keys().next().value!)
    this.#writeNext()
  }

  async #writeNext (): Promise<void> {
    if (this.#isWriting || this.#isStopped || this.#waiting.size === 0) return
    this.#isWriting = true
    // Records come before removals, which nobody waits for.
    const entries = [...this.#waiting].sort(([, left], [, right]) => Number(left.record === undefined) - Number(right.record === undefined)).slice(0, maxEntries)
    const outcome = await this.#options.transact({
      checks: [],
      writes: entries.flatMap(([key, { record }]) => record ? [{ table: streamsTable, key, value: encodeStreamOrigin(record) }] : []),
      removals: entries.flatMap(([key, { record }]) => record ? [] : [{ table: streamsTable, key }])
    })
    const isWritten = outcome.verdict === 'applied'
    if (isWritten) this.#confirm(entries)
    else this.#options.log.record('stream.notRecorded', 'Writing to the store where streams were begun failed; retrying.', { streams: entries.length, verdict: outcome.verdict })
    this.#timer = this.#options.clock.setTimer(() => {
      this.#isWriting = false
      this.#writeNext()
    }, isWritten ? this.#computeIntervalMs(entries.length) : retryMs)
  }

  /** A whole batch is followed by the next one at once, so that a backlog ends soon. */
  #computeIntervalMs (entryCount: number): number {
    if (entryCount === maxEntries) return minWriteIntervalMs
    return Math.max(minWriteIntervalMs, this.#options.countRecorders() * 1000 / maxWritesPerSecond)
  }

  #confirm (entries: readonly [string, WaitingRecord][]): void {
    const byConfirm = new Map<WaitingRecord['confirm'], string[]>()
    for (const [key, waiting] of entries) {
      if (this.#waiting.get(key) === waiting) this.#waiting.delete(key)
      byConfirm.set(waiting.confirm, [...byConfirm.get(waiting.confirm) ?? [], key])
    }
    for (const [confirm, keys] of byConfirm) confirm(keys)
  }
}
