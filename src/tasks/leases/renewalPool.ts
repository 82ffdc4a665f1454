/**
 * Writes the renewals of many hosts in one transaction a second. Written one by one they are most of a system's calls to
 * the store, and a slow store, which takes transactions one after the other, falls behind them.
 */
import { renewalIntervalMs } from '../../core/orderLease.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import { decodeRenewal, encodeHostsRow, renewalsTable } from '../../schemas/hostRows.js'
import type { RenewalAnswer, RenewalAsk, RenewalReply } from '../../schemas/datagram.js'

export interface RenewalPoolOptions {
  clock: Clock
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Whether the store answered this host a short while ago. */
  reachesStore: () => boolean
}

/** Renewals that come within this time of the first are written together. */
const gatherMs = 60
/** A renewal waits for the next round at most this long; it is good for `orderLimitMs` from when it was sent. */
const maxHoldMs = 800
/** Renewals in one transaction: each is a check and a write, and the store takes 100 entries. */
const maxBatch = 45

interface WaitingRenewal {
  host: string
  session: string
  ask: RenewalAsk
  answer: (reply: RenewalReply) => void
}

export class RenewalPool {
  #options: RenewalPoolOptions
  #waiting = new Map<string, WaitingRenewal>()
  #flushAtMs = 0
  #flushedAtMs = -Infinity
  #timer: Timer | undefined

  constructor (options: RenewalPoolOptions) {
    this.#options = options
  }

  receive (ask: RenewalAsk, { host, session }: Pick<DatagramSender, 'host' | 'session'>, answer: (reply: RenewalReply) => void): void {
    const { clock, reachesStore } = this.#options
    if (!reachesStore()) {
      answer({ type: 'renewed', id: ask.id, verdict: 'failed', version: 0 })
      return
    }
    const nowMs = clock.readMonotonic()
    if (this.#waiting.size === 0) this.#schedule(nowMs)
    this.#waiting.set(host, { host, session, ask, answer })
    answer({ type: 'renewalQueued', id: ask.id, inMs: this.#flushAtMs - nowMs })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #schedule (nowMs: number): void {
    const nextRoundMs = this.#flushedAtMs + renewalIntervalMs + gatherMs / 2
    this.#flushAtMs = Math.min(nowMs + maxHoldMs, Math.max(nowMs + gatherMs, nextRoundMs))
    this.#timer = this.#options.clock.setTimer(() => this.#flush(), this.#flushAtMs - nowMs)
  }

  #flush (): void {
    this.#flushedAtMs = this.#options.clock.readMonotonic()
    const all = [...this.#waiting.values()]
    this.#waiting.clear()
    for (let start = 0; start < all.length; start += maxBatch) this.#write(all.slice(start, start + maxBatch))
  }

  async #write (batch: WaitingRenewal[]): Promise<void> {
    const outcome = await this.#options.transact({
      checks: batch.map(({ host, ask }) => ({ table: renewalsTable, key: host, version: ask.version })),
      writes: batch.map(({ host, session, ask }) => ({ table: renewalsTable, key: host, value: encodeHostsRow({ session, renewal: ask.renewal }) })),
      removals: []
    })
    if (outcome.verdict !== 'conflict') {
      const version = outcome.verdict === 'applied' ? outcome.version : 0
      for (const { ask, answer } of batch) answer({ type: 'renewed', id: ask.id, verdict: outcome.verdict === 'applied' ? 'applied' : 'failed', version })
      return
    }
    const current = new Map(outcome.rows.filter(row => row.table === renewalsTable).map(row => [row.key, row]))
    const isStale = ({ host, ask }: WaitingRenewal): boolean => (current.get(host)?.version ?? 0) !== ask.version
    const fresh = batch.filter(renewal => !isStale(renewal))
    // One row that is not as expected keeps back the rest, which are written without it.
    if (fresh.length > 0 && fresh.length < batch.length) this.#write(fresh)
    for (const renewal of batch) if (isStale(renewal) || fresh.length === batch.length) renewal.answer(describeConflict(renewal.ask, current.get(renewal.host)))
  }
}

function describeConflict (ask: RenewalAsk, row: { version: number, value?: Uint8Array | undefined } | undefined): RenewalAnswer {
  const current = row?.value && decodeRenewal(row.value)
  return { type: 'renewed', id: ask.id, verdict: 'conflict', version: row?.version ?? 0, ...(current && { current }) }
}
