/** Reaches the relays of peers over HTTP, on their peers' addresses. */
import { Type } from '@sinclair/typebox'
import { pack, unpack } from 'msgpackr'
import { Agent } from 'undici'
import VError from 'verror'
import type { Relay } from '../../ports/relay.js'
import type { StoreOutcome } from '../../ports/store.js'
import { createParser } from '../../schemas/createParser.js'
import { decodeRow, relayedRowSchema } from './relayedRows.js'

export const newsPath = '/news'
export const transactPath = '/transact'
/** Told as the age of news that never came, as numbers on this way are finite. */
export const neverMs = 1e9

/** Beyond the time that a call may wait for changes; peers answer within milliseconds. */
const answerTimeoutMs = 600
const connectTimeoutMs = 400

const parseNews = createParser(Type.Object({
  logId: Type.String(),
  position: Type.Number(),
  isWhole: Type.Boolean(),
  rows: Type.Array(relayedRowSchema),
  versions: Type.Record(Type.String(), Type.Number()),
  storeAgeMs: Type.Number()
}))

/**
 * Creates the client of all peers' relays.
 *
 * @example
 * const relay = createHttpRelay()
 * const news = await relay.readNews('10.1.0.38:8144', '', 0, 1000)
 */
export function createHttpRelay (): Relay {
  const dispatcher = new Agent({ connections: 2, pipelining: 1, connect: { timeout: connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0 })
  return {
    readNews: async (address, logId, position, waitMs) => {
      const query = new URLSearchParams({ logId, position: String(position), waitMs: String(waitMs) })
      const { statusCode, body } = await dispatcher.request({
        origin: `http://${address}`, path: `${newsPath}?${query}`, method: 'GET', signal: AbortSignal.timeout(waitMs + answerTimeoutMs)
      })
      const bytes = Buffer.from(await body.arrayBuffer())
      if (statusCode !== 200) throw new VError('the peer at %s answered with status %d', address, statusCode)
      const news = parseNews(unpack(bytes))
      return { ...news, storeAgeMs: news.storeAgeMs >= neverMs ? Infinity : news.storeAgeMs, rows: await Promise.all(news.rows.map(decodeRow)) }
    },
    transact: async (address, transaction) => {
      try {
        const { statusCode, body } = await dispatcher.request({
          origin: `http://${address}`, path: transactPath, method: 'POST', body: pack(transaction), signal: AbortSignal.timeout(answerTimeoutMs * 2)
        })
        const bytes = Buffer.from(await body.arrayBuffer())
        if (statusCode === 200) return unpack(bytes) as StoreOutcome
        return { verdict: 'notApplied', reason: `the peer answered with status ${statusCode}` }
      } catch (error) {
        return { verdict: 'unknown', reason: (error as Error).message }
      }
    },
    close: async () => await dispatcher.destroy()
  }
}
