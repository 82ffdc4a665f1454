/** Withholds responses that compare versions of different eras of the store. */
import VError from 'verror'
import type { StoreEra } from '../../core/storeEra.js'
import type { Relay } from '../../ports/relay.js'
import type { Store, StoreOutcome, StoreResponse } from '../../ports/store.js'

const staleReason = 'the response is from before the store was restored from a copy'
const restoredReason = 'the store was restored from a copy during the call'

/**
 * Wraps the store so that each response records its era. A call fails if its response is of an earlier era, or if an era began since it
 * was sent: its versions and checks were those of the era before. The outcome of such a transaction is unknown.
 *
 * @example
 * const store = createEraCheckedStore(createStoreClient('10.200.1.7:8142'), eras)
 */
export function createEraCheckedStore (store: Store, eras: StoreEra): Store {
  return {
    readTable: async table => await readInEra(eras, async () => await store.readTable(table)),
    readRow: async (...options) => await readInEra(eras, async () => await store.readRow(...options)),
    watchTable: async (...options) => await readInEra(eras, async () => await store.watchTable(...options)),
    transact: async transaction => await transactInEra(eras, async () => await store.transact(transaction)),
    close: async () => await store.close()
  }
}

/** Wraps the transactions that other hosts run for this one in the same way. What they relay names its era itself. */
export function createEraCheckedRelay (relay: Relay, eras: StoreEra): Relay {
  return {
    readUpdates: async (...options) => await relay.readUpdates(...options),
    transact: async (address, transaction) => await transactInEra(eras, async () => await relay.transact(address, transaction, eras.current)),
    close: async () => await relay.close()
  }
}

async function readInEra<Response extends StoreResponse> (eras: StoreEra, read: () => Promise<Response>): Promise<Response> {
  const reason = createStalenessCheck(eras)
  const response = await read()
  const stale = reason(response)
  if (stale !== undefined) throw new VError(stale)
  return response
}

async function transactInEra (eras: StoreEra, transact: () => Promise<StoreOutcome>): Promise<StoreOutcome> {
  const reason = createStalenessCheck(eras)
  const outcome = await transact()
  const stale = reason(outcome)
  return stale === undefined || outcome.verdict === 'notApplied' ? outcome : { verdict: 'unknown', reason: stale }
}

/** Returns a function that records the era of a response, and returns why the response can't be used if that is so. */
function createStalenessCheck (eras: StoreEra): (response: StoreResponse) => string | undefined {
  const { changeCount } = eras
  return ({ era }) => {
    if (!eras.observe(era)) return staleReason
    return eras.changeCount === changeCount ? undefined : restoredReason
  }
}
