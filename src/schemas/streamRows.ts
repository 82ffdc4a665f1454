/** Rows in the store that tell which software version began a stream, and messages by which hosts have them written. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { createParser } from './createParser.js'

/** Table of streams; its rows are looked up one by one, so no host watches it. */
export const streamsTable = 'sedgevalve-streams'

/** Where a stream was begun. */
export const streamOriginSchema = Type.Object({
  service: Type.String(),
  /** Software version of the endpoint that wrote the first event; empty if it reported none. */
  version: Type.String()
})
export type StreamOrigin = Static<typeof streamOriginSchema>

const parseOrigin = createParser(streamOriginSchema)

/** Asks a recorder to write where streams were begun; a repeated message is written once more, without harm. */
export const streamRecordsSchema = Type.Object({
  type: Type.Literal('streams'),
  records: Type.Array(Type.Composite([Type.Object({ key: Type.String() }), streamOriginSchema]))
})
export type StreamRecords = Static<typeof streamRecordsSchema>
export type StreamRecord = StreamRecords['records'][number]

/** Confirms that the store has these streams, by their keys. */
export const streamRecordsSavedSchema = Type.Object({ type: Type.Literal('streamsSaved'), keys: Type.Array(Type.String()) })
export type StreamRecordsSaved = Static<typeof streamRecordsSavedSchema>

export function encodeStreamOrigin ({ service, version }: StreamOrigin): Uint8Array {
  return Buffer.from(JSON.stringify({ service, version }))
}

/**
 * Decodes a row of the table; undefined if another program wrote it.
 *
 * @example
 * decodeStreamOrigin(Buffer.from('{"service":"llm-pool","version":"v1.1"}'))?.version // 'v1.1'
 */
export function decodeStreamOrigin (value: Uint8Array): StreamOrigin | undefined {
  try {
    return parseOrigin(JSON.parse(Buffer.from(value).toString('utf8')))
  } catch {
    // Without a readable row the stream counts as unknown.
    return undefined
  }
}
