/** Sends transactions to the store directly, or through a peer while this host cannot reach the store. */
import type { StoreEra } from '../../core/storeEra.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'

export interface StoreAccessOptions {
  clock: Clock
  log: EventLog
  eras: StoreEra
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  transactViaPeer: (address: string, transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Relay addresses of peers that may reach the store, in order of preference. */
  listPeers: () => string[]
  /** Called when the store has decided a transaction that this host sent directly. */
  recordStoreResponse: () => void
}

/** If the store does not respond within this time, peers are tried as well: a slow response plus ten usual response times. */
const directTimeoutMs = 350
/** For this long after a failed direct transaction, peers are tried at once, in parallel with the direct transaction. */
const directFailureTtlMs = 2000
const maxPeers = 3

/**
 * A transaction may be sent directly and through peers at the same time. All copies have the same condition, so at most one is
 * applied; a later copy conflicts with the row that the first one wrote.
 */
export class StoreAccess {
  #options: StoreAccessOptions
  #directFailedAtMs = -Infinity

  constructor (options: StoreAccessOptions) {
    this.#options = options
  }

  async transact (transaction: StoreTransaction): Promise<StoreOutcome> {
    const { clock, eras } = this.#options
    const { changeCount } = eras
    const peers = this.#options.listPeers().slice(0, maxPeers)
    const triesPeersAtOnce = clock.readMonotonic() - this.#directFailedAtMs < directFailureTtlMs && peers.length > 0
    const direct = this.#transactDirectly(transaction)
    if (!triesPeersAtOnce) {
      const directOutcome = await Promise.race([direct, this.#delay(directTimeoutMs)])
      if (directOutcome && isDecided(directOutcome)) return directOutcome
    }
    let mayBeApplied = false
    for (const address of peers) {
      // The checks hold versions of the era before, which the store may give to other rows now.
      if (eras.changeCount !== changeCount) return { verdict: 'unknown', reason: 'the store was restored from a copy' }
      const outcome = await Promise.race([direct.then(outcome => isDecided(outcome) ? outcome : new Promise<never>(() => {})), this.#options.transactViaPeer(address, transaction)])
      if (isDecided(outcome)) return outcome
      mayBeApplied ||= outcome.verdict === 'unknown'
    }
    const finalOutcome = await direct
    return mayBeApplied && finalOutcome.verdict === 'notApplied' ? { verdict: 'unknown', reason: 'a peer did not report whether the store applied the transaction' } : finalOutcome
  }

  async #transactDirectly (transaction: StoreTransaction): Promise<StoreOutcome> {
    const { transact, recordStoreResponse, clock, log } = this.#options
    const outcome = await transact(transaction)
    if (isDecided(outcome)) {
      this.#directFailedAtMs = -Infinity
      recordStoreResponse()
    } else {
      this.#directFailedAtMs = clock.readMonotonic()
      log.record('store.transactionFailed', 'The store did not confirm a transaction; trying it through peers.', { ...outcome })
    }
    return outcome
  }

  async #delay (ms: number): Promise<undefined> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }
}

/** Whether the store has decided the transaction, by applying it or by a conflict. */
function isDecided (outcome: StoreOutcome): boolean {
  return outcome.verdict === 'applied' || outcome.verdict === 'conflict'
}
