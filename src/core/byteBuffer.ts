/** Collects bytes that arrive in many pieces, in time and memory that are linear in the bytes. */

const minCapacity = 256
const emptyBuffer = Buffer.alloc(0)

/**
 * Copies the pieces that are appended, so that the buffers which they are parts of can be freed.
 *
 * @example
 * const buffer = new ByteBuffer()
 * buffer.append(Buffer.from('a'))
 * buffer.append(Buffer.from('b'))
 * buffer.take().toString() // 'ab'
 */
export class ByteBuffer {
  #bytes: Buffer = emptyBuffer
  #length = 0

  get length (): number {
    return this.#length
  }

  append (piece: Buffer): void {
    const length = this.#length + piece.length
    if (length > this.#bytes.length) {
      const grown = Buffer.allocUnsafe(Math.max(minCapacity, length, this.#bytes.length * 2))
      this.#bytes.copy(grown, 0, 0, this.#length)
      this.#bytes = grown
    }
    piece.copy(this.#bytes, this.#length)
    this.#length = length
  }

  /** Returns the last bytes, which stay in the buffer. */
  readLast (count: number): Buffer {
    return this.#bytes.subarray(this.#length - count, this.#length)
  }

  /** Returns what was collected and clears the buffer. */
  take (): Buffer {
    const taken = this.#bytes.subarray(0, this.#length)
    this.clear()
    return taken
  }

  clear (): void {
    this.#bytes = emptyBuffer
    this.#length = 0
  }
}
