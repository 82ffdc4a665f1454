/** Decodes JSON that other programs wrote. */

/** Returns undefined if the bytes are not valid JSON, as another writer's may be; this then fails the caller's schema check. */
export function decodeJson (value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value.buffer, value.byteOffset, value.byteLength).toString('utf8'))
  } catch {
    return undefined
  }
}
