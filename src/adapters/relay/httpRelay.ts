/** HTTP client for the relays of other hosts. */
import { Type } from '@sinclair/typebox'
import { pack, unpack } from 'msgpackr'
import VError from 'verror'
import type { Relay } from '../../ports/relay.js'
import type { StoreOutcome } from '../../ports/store.js'
import { createParser } from '../../schemas/createParser.js'
import { createHttpAgent } from '../httpClient/httpClients.js'
import { decodeRelayedRow, relayedRowSchema } from './relayedRows.js'

export const updatesPath = '/news'
export const transactPath = '/transact'
/** Sent as `storeAgeMs` where the store was never reached, because the schema accepts finite numbers only. */
export const unknownStoreAgeMs = 1e9

/** Response timeout in addition to the time that a call may wait for changes. Peers respond within milliseconds. */
const responseTimeoutMs = 600
const connectTimeoutMs = 400

const parseUpdates = createParser(Type.Object({
  logId: Type.String(),
  position: Type.Number(),
  isWhole: Type.Boolean(),
  rows: Type.Array(relayedRowSchema),
  versions: Type.Record(Type.String(), Type.Number()),
  storeAgeMs: Type.Number(),
  /** Left out by hosts of an earlier version, and while the store has named none. */
  era: Type.Optional(Type.Number()),
  /** Left out by hosts of an earlier version. */
  tableAgesMs: Type.Optional(Type.Record(Type.String(), Type.Number()))
}))

const eraField = { era: Type.Optional(Type.Number()) }
const outcomeRowSchema = Type.Object({ table: Type.String(), key: Type.String(), version: Type.Number(), value: Type.Optional(Type.Any()) })
const parseOutcome = createParser(Type.Union([
  Type.Object({ verdict: Type.Literal('applied'), version: Type.Number(), ...eraField }),
  Type.Object({ verdict: Type.Literal('conflict'), rows: Type.Array(outcomeRowSchema), ...eraField }),
  Type.Object({ verdict: Type.Union([Type.Literal('notApplied'), Type.Literal('unknown')]), reason: Type.String(), ...eraField })
]))

/**
 * Creates one client for the relays of all peers.
 *
 * @example
 * const relay = createHttpRelay()
 * const updates = await relay.readUpdates('10.1.0.38:8144', '', 0, 1000)
 */
export function createHttpRelay (): Relay {
  const dispatcher = createHttpAgent({ connections: 2, pipelining: 1, connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0 })
  return {
    readUpdates: async (address, logId, position, waitMs) => {
      const query = new URLSearchParams({ logId, position: String(position), waitMs: String(waitMs) })
      const { statusCode, body } = await dispatcher.request({
        origin: `http://${address}`, path: `${updatesPath}?${query}`, method: 'GET', signal: AbortSignal.timeout(waitMs + responseTimeoutMs)
      })
      const bytes = Buffer.from(await body.arrayBuffer())
      if (statusCode !== 200) throw new VError('the peer at %s answered with status %d', address, statusCode)
      const updates = parseUpdates(unpack(bytes))
      const storeAgeMs = updates.storeAgeMs >= unknownStoreAgeMs ? Infinity : updates.storeAgeMs
      const tableAgesMs = updates.tableAgesMs ?? Object.fromEntries(Object.keys(updates.versions).map(table => [table, storeAgeMs]))
      return { ...updates, storeAgeMs, tableAgesMs, rows: await Promise.all(updates.rows.map(decodeRelayedRow)) }
    },
    transact: async (address, transaction, era) => {
      try {
        const { statusCode, body } = await dispatcher.request({
          origin: `http://${address}`, path: transactPath, method: 'POST', body: pack({ ...transaction, ...(era !== undefined && { era }) }), signal: AbortSignal.timeout(responseTimeoutMs * 2)
        })
        const bytes = Buffer.from(await body.arrayBuffer())
        if (statusCode === 200) return parseOutcome(unpack(bytes)) as StoreOutcome
        return { verdict: 'notApplied', reason: `the peer answered with status ${statusCode}` }
      } catch (error) {
        return { verdict: 'unknown', reason: (error as Error).message }
      }
    },
    close: async () => await dispatcher.destroy()
  }
}
