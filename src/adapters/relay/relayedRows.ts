/** Rows as relays send them. Large values are compressed, each only once for all hosts that read it. */
import { deflate, inflate } from 'node:zlib'
import { promisify } from 'node:util'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import type { StoreRow } from '../../ports/store.js'

export const relayedRowSchema = Type.Object({
  table: Type.String(), key: Type.String(), version: Type.Number(), value: Type.Optional(Type.Any()), isDeflated: Type.Optional(Type.Boolean())
})
export type RelayedRow = Static<typeof relayedRowSchema>

/**
 * Values of at least this size are compressed. Rows of hosts and endpoints are smaller. In features/relayedNews.feature,
 * 300,000 bytes of routes were sent as 37,000 bytes.
 */
const minCompressedBytes = 8192

const deflateBytes = promisify(deflate)
const inflateBytes = promisify(inflate)
const deflatedValues = new WeakMap<StoreRow, Promise<Uint8Array>>()

/**
 * Encodes a row for sending; compresses a large value.
 *
 * @example
 * await encodeRelayedRow({ table: 'op', key: 'config', version: 7, value: Buffer.alloc(9000) })
 * // { table: 'op', key: 'config', version: 7, value: <some 30 bytes>, isDeflated: true }
 */
export async function encodeRelayedRow (row: StoreRow): Promise<RelayedRow> {
  if (!row.value || row.value.length < minCompressedBytes) return row
  const cached = deflatedValues.get(row)
  const deflated = cached ?? deflateBytes(row.value)
  if (!cached) deflatedValues.set(row, deflated)
  return { ...row, value: await deflated, isDeflated: true }
}

/** Decodes a row that `encodeRelayedRow` encoded. Rejects where a compressed value is damaged. */
export async function decodeRelayedRow ({ table, key, version, value, isDeflated }: RelayedRow): Promise<StoreRow> {
  return { table, key, version, value: isDeflated ? await inflateBytes(value as Uint8Array) : value as Uint8Array | undefined }
}
