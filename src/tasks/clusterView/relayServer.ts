/** Serves this host's copy of the store's rows to peers, and runs transactions for peers that cannot reach the store. */
import { pack, unpack } from 'msgpackr'
import { Type } from '@sinclair/typebox'
import { startHttpServer } from '../../adapters/httpServer/httpServer.js'
import type { HttpReply, HttpServer, HttpServerLimits } from '../../adapters/httpServer/httpServer.js'
import { unknownStoreAgeMs, updatesPath, transactPath } from '../../adapters/relay/httpRelay.js'
import { encodeRelayedRow } from '../../adapters/relay/relayedRows.js'
import type { RowMirror } from '../../core/rowMirror.js'
import type { StoreEra } from '../../core/storeEra.js'
import type { Clock } from '../../ports/clock.js'
import type { Store, StoreOutcome, StoreTransaction } from '../../ports/store.js'
import { createParser } from '../../schemas/createParser.js'
import { hostsTable, renewalsTable } from '../../schemas/hostRows.js'

export interface RelayServerOptions {
  /** `ip:port`. */
  address: string
  clock: Clock
  mirror: RowMirror
  store: Store
  eras: StoreEra
  getStoreAgeMs: () => number
  /** Milliseconds since this host's copy of each table last matched the store, by table. */
  listTableAges: () => Readonly<Record<string, number>>
  /** Whether the store itself recently responded to this host. */
  isStoreReachable: () => boolean
  /** Limits on what the connections of other hosts hold. */
  limits?: HttpServerLimits
}

const maxWaitMs = 5000
/** Time for the store to decide transactions of other hosts at the end of a stop, which has 500 ms left then. */
const maxDecisionMs = 250
const rowNameSchema = Type.Object({ table: Type.Union([Type.Literal(hostsTable), Type.Literal(renewalsTable)]), key: Type.String() })
const parseTransaction = createParser(Type.Object({
  checks: Type.Array(Type.Composite([rowNameSchema, Type.Object({ version: Type.Number() })])),
  writes: Type.Array(Type.Composite([rowNameSchema, Type.Object({ value: Type.Any() })])),
  removals: Type.Array(rowNameSchema),
  /** Era of the versions in `checks`; left out by hosts of an earlier version, and while the store has named none. */
  era: Type.Optional(Type.Number())
}))

/** Starts the server. Its responses hold no rows until its host has read the store or another relay. */
export async function startRelayServer (options: RelayServerOptions): Promise<HttpServer> {
  return await startHttpServer(options.address, async ({ method, url, body }) => {
    if (method === 'GET' && url.pathname === updatesPath) return await serveUpdates(options, url.searchParams)
    if (method === 'POST' && url.pathname === transactPath) return await runTransaction(options, body)
    return { status: 404 }
  }, options.limits)
}

async function serveUpdates (options: RelayServerOptions, query: URLSearchParams): Promise<HttpReply> {
  const { clock, mirror, eras, getStoreAgeMs, listTableAges } = options
  const logId = query.get('logId') ?? ''
  const position = Number(query.get('position'))
  if (logId === mirror.logId && position === mirror.position) await waitForUpdate(options, Math.min(maxWaitMs, Number(query.get('waitMs'))))
  const changes = mirror.getChangesSince(logId, position)
  const era = eras.current
  const readAtMs = clock.readMonotonic()
  const [storeAgeMs, ages] = [getStoreAgeMs(), listTableAges()]
  const rows = await Promise.all(changes.rows.map(encodeRelayedRow))
  const encodingMs = clock.readMonotonic() - readAtMs
  const tableAgesMs = Object.fromEntries(Object.entries(ages).map(([table, ageMs]) => [table, ageMs + encodingMs]))
  return createReply({ ...changes, rows, ...(era !== undefined && { era }), storeAgeMs: Math.min(unknownStoreAgeMs, storeAgeMs + encodingMs), tableAgesMs })
}

async function runTransaction ({ store, eras, isStoreReachable }: RelayServerOptions, body: Buffer): Promise<HttpReply> {
  // Responds at once when this host cannot reach the store either, so that the caller tries another peer.
  if (!isStoreReachable()) return { status: 503 }
  const { era, ...transaction } = parseTransaction(unpack(body))
  if (!eras.observe(era)) return createReply({ verdict: 'notApplied', reason: 'the store was restored from a copy', era: eras.current } satisfies StoreOutcome)
  const outcome = await store.transact(transaction as StoreTransaction)
  return createReply({ ...outcome, ...(eras.current !== undefined && { era: eras.current }) })
}

function createReply (message: unknown): HttpReply {
  return { status: 200, contentType: 'application/octet-stream', body: pack(message) }
}

/** Resolves when a row has changed in a way that watching hosts should know, or after `waitMs`. */
async function waitForUpdate ({ clock, mirror }: RelayServerOptions, waitMs: number): Promise<void> {
  const { position } = mirror
  await new Promise<void>(resolve => {
    let stopWaiting = (): void => {}
    const timer = clock.setTimer(() => {
      stopWaiting()
      resolve()
    }, waitMs)
    const check = (): void => {
      if (mirror.position === position) {
        stopWaiting = mirror.onNextChange(check)
        return
      }
      timer.cancel()
      resolve()
    }
    check()
  })
}

/**
 * Ends a relay once the store has decided the transactions that it runs for other hosts: without an answer, these could not know whether
 * theirs took effect.
 *
 * @example
 * await endRelay(relayServer)
 */
export async function endRelay (server: HttpServer): Promise<void> {
  await server.drain(maxDecisionMs)
  server.close()
}
