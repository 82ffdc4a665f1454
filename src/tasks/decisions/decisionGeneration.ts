/**
 * An append-only buffer of packed decisions. Each entry has a header with its length and the offset of the previous entry of
 * the same request, so the decisions of a request form a linked list from the latest to the earliest.
 */

/** The entry's length and the offset of the previous entry, 4 bytes each. */
const headerBytes = 8
/** Stored as the previous offset in the earliest decision of a request. */
const noPreviousOffset = 0xffffffff

export class DecisionGeneration {
  #buffer: Buffer
  #usedBytes = 0
  #count = 0
  #lastOffsetByRequest = new Map<string, number>()

  constructor (maxBytes: number) {
    this.#buffer = Buffer.allocUnsafe(maxBytes)
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  get count (): number {
    return this.#count
  }

  get requestCount (): number {
    return this.#lastOffsetByRequest.size
  }

  /** Copies a packed decision into the buffer; returns false if it does not fit into the remaining space. */
  add (bytes: Uint8Array, requestId: string | undefined): boolean {
    const offset = this.#usedBytes
    if (offset + headerBytes + bytes.length > this.#buffer.length) return false
    const previousOffset = requestId === undefined ? undefined : this.#lastOffsetByRequest.get(requestId)
    this.#buffer.writeUInt32LE(bytes.length, offset)
    this.#buffer.writeUInt32LE(previousOffset ?? noPreviousOffset, offset + 4)
    this.#buffer.set(bytes, offset + headerBytes)
    if (requestId !== undefined) this.#lastOffsetByRequest.set(previousOffset === undefined ? copyString(requestId) : requestId, offset)
    this.#usedBytes += headerBytes + bytes.length
    this.#count++
    return true
  }

  /** Returns the packed decisions of a request, oldest first, as views of the buffer. */
  findByRequest (requestId: string): Uint8Array[] {
    const found: Uint8Array[] = []
    let offset = this.#lastOffsetByRequest.get(requestId) ?? noPreviousOffset
    while (offset !== noPreviousOffset) {
      const start = offset + headerBytes
      found.push(this.#buffer.subarray(start, start + this.#buffer.readUInt32LE(offset)))
      offset = this.#buffer.readUInt32LE(offset + 4)
    }
    return found.reverse()
  }
}

/** A string decoded from a message may be a view of the whole message and keep it in memory; a copy does not. */
function copyString (value: string): string {
  return Buffer.from(value).toString()
}
