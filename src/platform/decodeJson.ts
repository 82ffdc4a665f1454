/** Decodes bytes that other programs wrote. */

/** Returns undefined where the bytes are no JSON; the caller treats them as an entry of another writer. */
export function decodeJson (value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value.buffer, value.byteOffset, value.byteLength).toString('utf8'))
  } catch {
    return undefined
  }
}
