/** Reaches the store for transactions: directly, or through a peer while this host is cut off from it. */
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'

export interface StoreAccessOptions {
  clock: Clock
  log: EventLog
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  transactByPeer: (address: string, transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Addresses of peers' relays that may reach the store, the likeliest first. */
  listPeers: () => string[]
  receiveStoreAnswer: () => void
}

/** A store that does not answer for this long, ten times its usual answer beyond a slow one, is tried through a peer as well. */
const patienceMs = 350
/** After a failure, peers are tried first for this long. */
const avoidStoreMs = 2000
const maxPeers = 3

/**
 * A transaction that goes several ways has one condition, so it is applied once at most; the way that comes second
 * meets a conflict with the row that was just written.
 */
export class StoreAccess {
  #options: StoreAccessOptions
  #failedAtMs = -Infinity

  constructor (options: StoreAccessOptions) {
    this.#options = options
  }

  async transact (transaction: StoreTransaction): Promise<StoreOutcome> {
    const { clock } = this.#options
    const peers = this.#options.listPeers().slice(0, maxPeers)
    const avoidsStore = clock.readMonotonic() - this.#failedAtMs < avoidStoreMs && peers.length > 0
    const direct = this.#transactDirectly(transaction)
    if (!avoidsStore) {
      const early = await Promise.race([direct, this.#wait(patienceMs)])
      if (early && isSettled(early)) return early
    }
    let mayBeApplied = false
    for (const address of peers) {
      const outcome = await Promise.race([direct.then(outcome => isSettled(outcome) ? outcome : new Promise<never>(() => {})), this.#options.transactByPeer(address, transaction)])
      if (isSettled(outcome)) return outcome
      mayBeApplied ||= outcome.verdict === 'unknown'
    }
    const last = await direct
    return mayBeApplied && last.verdict === 'notApplied' ? { verdict: 'unknown', reason: 'a peer did not tell whether the store has applied it' } : last
  }

  async #transactDirectly (transaction: StoreTransaction): Promise<StoreOutcome> {
    const { transact, receiveStoreAnswer, clock, log } = this.#options
    const outcome = await transact(transaction)
    if (isSettled(outcome)) {
      this.#failedAtMs = -Infinity
      receiveStoreAnswer()
    } else {
      this.#failedAtMs = clock.readMonotonic()
      log.record('store.transactionFailed', 'The store did not carry out a transaction; peers are asked to.', { ...outcome })
    }
    return outcome
  }

  async #wait (ms: number): Promise<undefined> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }
}

/** Whether the store has decided. */
function isSettled (outcome: StoreOutcome): boolean {
  return outcome.verdict === 'applied' || outcome.verdict === 'conflict'
}
