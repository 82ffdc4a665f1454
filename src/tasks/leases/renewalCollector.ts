/**
 * Writes the renewals of many hosts in one transaction per second. Written individually, renewals are most of a system's calls to
 * the store, and a slow store, which applies transactions one after another, cannot keep up with them.
 */
import { renewalIntervalMs } from '../../core/ownershipLease.js'
import type { StoreEra } from '../../core/storeEra.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import { decodeRenewal, encodeHostsRow, renewalsTable } from '../../schemas/hostRows.js'
import type { RenewalResult, RenewalRequest, RenewalReply } from '../../schemas/datagram.js'

export interface RenewalCollectorOptions {
  clock: Clock
  eras: StoreEra
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Whether the store responded to this host recently. */
  isStoreReachable: () => boolean
}

/** Renewals that arrive within this time after the first are written in one batch. */
const collectionWindowMs = 60
/** Maximum time that a renewal waits for the next batch; it allows orders for `orderLimitMs` from when it was sent. */
const maxDelayMs = 800
/** Maximum number of renewals in one transaction: each needs a check and a write, and the store accepts 100 entries. */
const maxBatchSize = 45

interface QueuedRenewal {
  host: string
  session: string
  request: RenewalRequest
  reply: (reply: RenewalReply) => void
  /** Number of eras of the store that had begun when it arrived. */
  changeCount: number
}

export class RenewalCollector {
  #options: RenewalCollectorOptions
  #queued = new Map<string, QueuedRenewal>()
  #flushDueAtMs = 0
  #flushedAtMs = -Infinity
  #timer: Timer | undefined

  constructor (options: RenewalCollectorOptions) {
    this.#options = options
  }

  handleRequest (request: RenewalRequest, { host, session }: Pick<DatagramSender, 'host' | 'session'>, reply: (reply: RenewalReply) => void): void {
    const { clock, eras, isStoreReachable } = this.#options
    const isOfLatestEra = eras.observe(request.era)
    if (!isOfLatestEra || !isStoreReachable()) {
      reply(this.#createReply(request, 'failed', 0))
      return
    }
    const nowMs = clock.readMonotonic()
    if (this.#queued.size === 0) this.#schedule(nowMs)
    this.#queued.set(host, { host, session, request, reply, changeCount: eras.changeCount })
    reply({ type: 'renewalQueued', id: request.id, inMs: this.#flushDueAtMs - nowMs })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #schedule (nowMs: number): void {
    const nextBatchAtMs = this.#flushedAtMs + renewalIntervalMs + collectionWindowMs / 2
    this.#flushDueAtMs = Math.min(nowMs + maxDelayMs, Math.max(nowMs + collectionWindowMs, nextBatchAtMs))
    this.#timer = this.#options.clock.setTimer(() => this.#flush(), this.#flushDueAtMs - nowMs)
  }

  #flush (): void {
    this.#flushedAtMs = this.#options.clock.readMonotonic()
    const queued = [...this.#queued.values()]
    this.#queued.clear()
    const isCurrent = ({ changeCount }: QueuedRenewal): boolean => changeCount === this.#options.eras.changeCount
    const renewals = queued.filter(isCurrent)
    for (const renewal of queued) if (!isCurrent(renewal)) renewal.reply(this.#createReply(renewal.request, 'failed', 0))
    for (let start = 0; start < renewals.length; start += maxBatchSize) this.#writeBatch(renewals.slice(start, start + maxBatchSize))
  }

  async #writeBatch (batch: QueuedRenewal[]): Promise<void> {
    const outcome = await this.#options.transact({
      checks: batch.map(({ host, request }) => ({ table: renewalsTable, key: host, version: request.version })),
      writes: batch.map(({ host, session, request }) => ({ table: renewalsTable, key: host, value: encodeHostsRow({ session, renewal: request.renewal }) })),
      removals: []
    })
    if (outcome.verdict !== 'conflict') {
      const version = outcome.verdict === 'applied' ? outcome.version : 0
      for (const { request, reply } of batch) reply(this.#createReply(request, outcome.verdict === 'applied' ? 'applied' : 'failed', version))
      return
    }
    const current = new Map(outcome.rows.filter(row => row.table === renewalsTable).map(row => [row.key, row]))
    const hasVersionConflict = ({ host, request }: QueuedRenewal): boolean => (current.get(host)?.version ?? 0) !== request.version
    const remaining = batch.filter(renewal => !hasVersionConflict(renewal))
    // A row with an unexpected version fails the whole batch; the other renewals are written again without it.
    if (remaining.length > 0 && remaining.length < batch.length) this.#writeBatch(remaining)
    for (const renewal of batch) if (hasVersionConflict(renewal) || remaining.length === batch.length) renewal.reply(this.#createConflictReply(renewal.request, current.get(renewal.host)))
  }

  #createConflictReply (request: RenewalRequest, row: { version: number, value?: Uint8Array | undefined } | undefined): RenewalResult {
    const current = row?.value && decodeRenewal(row.value)
    return { ...this.#createReply(request, 'conflict', row?.version ?? 0), ...(current && { current }) }
  }

  #createReply ({ id }: RenewalRequest, verdict: RenewalResult['verdict'], version: number): RenewalResult {
    const era = this.#options.eras.current
    return { type: 'renewed', id, verdict, version, ...(era !== undefined && { era }) }
  }
}
