/** Serves this host's copy of the store's rows to peers, and carries out transactions for those that are cut off. */
import { pack, unpack } from 'msgpackr'
import fastify from 'fastify'
import { Type } from '@sinclair/typebox'
import { newsPath, transactPath } from '../../adapters/relay/httpRelay.js'
import type { RowMirror } from '../../core/rowMirror.js'
import type { Clock } from '../../ports/clock.js'
import type { Store, StoreTransaction } from '../../ports/store.js'
import { createParser } from '../../schemas/createParser.js'
import { hostsTable, renewalsTable } from '../../schemas/hostRows.js'

export interface RelayServerOptions {
  /** `ip:port`. */
  address: string
  clock: Clock
  mirror: RowMirror
  store: Store
  readStoreAgeMs: () => number
  /** Whether the store itself answered this host a short while ago. */
  reachesStore: () => boolean
}

export interface RelayServer {
  stop: () => Promise<void>
}

const maxWaitMs = 5000
/** Told as the age of news that never came. */
const neverMs = 1e9
const rowNameSchema = Type.Object({ table: Type.Union([Type.Literal(hostsTable), Type.Literal(renewalsTable)]), key: Type.String() })
const parseTransaction = createParser(Type.Object({
  checks: Type.Array(Type.Composite([rowNameSchema, Type.Object({ version: Type.Number() })])),
  writes: Type.Array(Type.Composite([rowNameSchema, Type.Object({ value: Type.Any() })])),
  removals: Type.Array(rowNameSchema)
}))

/** Starts the server; it tells nothing before its host has read the store or a peer. */
export async function startRelayServer (options: RelayServerOptions): Promise<RelayServer> {
  const server = fastify({ forceCloseConnections: true })
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
  server.get<{ Querystring: { logId: string, position: string, waitMs: string } }>(newsPath, async ({ query }) => {
    const position = Number(query.position)
    if (query.logId === options.mirror.logId && position === options.mirror.position) {
      await waitForNews(options, Math.min(maxWaitMs, Number(query.waitMs)))
    }
    return pack({ ...options.mirror.readChanges(query.logId, position), storeAgeMs: Math.min(neverMs, options.readStoreAgeMs()) })
  })
  server.post(transactPath, async ({ body }, reply) => {
    // A peer that is cut off itself says so at once, so that another one is asked.
    if (!options.reachesStore()) return await reply.code(503).send()
    return pack(await options.store.transact(parseTransaction(unpack(body as Buffer)) as StoreTransaction))
  })
  const [host, port] = options.address.split(':')
  await server.listen({ host: host!, port: Number(port) })
  return { stop: async () => await server.close() }
}

/** Resolves when a row has changed in a way that followers should know, or when the time is over. */
async function waitForNews ({ clock, mirror }: RelayServerOptions, waitMs: number): Promise<void> {
  const { position } = mirror
  await new Promise<void>(resolve => {
    let cancelWait = (): void => {}
    const timer = clock.setTimer(() => {
      cancelWait()
      resolve()
    }, waitMs)
    const check = (): void => {
      if (mirror.position === position) {
        cancelWait = mirror.waitForChange(check)
        return
      }
      timer.cancel()
      resolve()
    }
    check()
  })
}
