/** Rows as relays send them: large values compressed, each once however many followers ask for it. */
import { deflate, inflate } from 'node:zlib'
import { promisify } from 'node:util'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import type { StoreRow } from '../../ports/store.js'

export const relayedRowSchema = Type.Object({
  table: Type.String(), key: Type.String(), version: Type.Number(), value: Type.Optional(Type.Any()), isDeflated: Type.Optional(Type.Boolean())
})
export type RelayedRow = Static<typeof relayedRowSchema>

/** Entries of hosts and endpoints stay below. Of 300,000 bytes of routes 37,000 crossed, see features/relayedNews.feature. */
const minDeflatedBytes = 8192

const deflateBytes = promisify(deflate)
const inflateBytes = promisify(inflate)
const deflatedValues = new WeakMap<StoreRow, Promise<Uint8Array>>()

/**
 * @example
 * await encodeRow({ table: 'op', key: 'config', version: 7, value: Buffer.alloc(9000) })
 * // { table: 'op', key: 'config', version: 7, value: <some 30 bytes>, isDeflated: true }
 */
export async function encodeRow (row: StoreRow): Promise<RelayedRow> {
  if (!row.value || row.value.length < minDeflatedBytes) return row
  const known = deflatedValues.get(row)
  const deflated = known ?? deflateBytes(row.value)
  if (!known) deflatedValues.set(row, deflated)
  return { ...row, value: await deflated, isDeflated: true }
}

export async function decodeRow ({ table, key, version, value, isDeflated }: RelayedRow): Promise<StoreRow> {
  return { table, key, version, value: isDeflated ? await inflateBytes(value as Uint8Array) : value as Uint8Array | undefined }
}
