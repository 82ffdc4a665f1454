/** Packed decisions in one block of memory; those of one request are linked from the latest to the earliest. */

const headerBytes = 8
/** Marks the earliest decision of a request. */
const noPrevious = 0xffffffff

export class DecisionGeneration {
  #block: Buffer
  #used = 0
  #count = 0
  #lastByRequest = new Map<string, number>()

  constructor (maxBytes: number) {
    this.#block = Buffer.allocUnsafe(maxBytes)
  }

  get usedBytes (): number {
    return this.#used
  }

  get count (): number {
    return this.#count
  }

  get requests (): number {
    return this.#lastByRequest.size
  }

  /** Copies a packed decision into the block; false where it has no room left. */
  add (bytes: Uint8Array, requestId: string | undefined): boolean {
    const position = this.#used
    if (position + headerBytes + bytes.length > this.#block.length) return false
    const previous = requestId === undefined ? undefined : this.#lastByRequest.get(requestId)
    this.#block.writeUInt32LE(bytes.length, position)
    this.#block.writeUInt32LE(previous ?? noPrevious, position + 4)
    this.#block.set(bytes, position + headerBytes)
    if (requestId !== undefined) this.#lastByRequest.set(previous === undefined ? copyText(requestId) : requestId, position)
    this.#used += headerBytes + bytes.length
    this.#count++
    return true
  }

  /** Lists the packed decisions of a request, oldest first; they are views of the block. */
  findByRequest (requestId: string): Uint8Array[] {
    const found: Uint8Array[] = []
    let position = this.#lastByRequest.get(requestId) ?? noPrevious
    while (position !== noPrevious) {
      const start = position + headerBytes
      found.push(this.#block.subarray(start, start + this.#block.readUInt32LE(position)))
      position = this.#block.readUInt32LE(position + 4)
    }
    return found.reverse()
  }
}

/** A text that was read from a message may be a view of the whole message, which it would keep in memory. */
function copyText (text: string): string {
  return Buffer.from(text).toString()
}
