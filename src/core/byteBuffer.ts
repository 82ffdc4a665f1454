/** Collects bytes that arrive in many pieces, in time and memory that are linear in the bytes. */

const minCapacity = 256
/** Beyond this size, bytes are added in blocks rather than moved into a buffer of twice the size, which would hold up to three times as much. */
const blockBytes = 64 * 1024
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
  /** Blocks that are full, in order. */
  #blocks: Buffer[] = []
  /** The bytes behind them, and how many of its bytes are used. */
  #last: Buffer = emptyBuffer
  #lastLength = 0
  #length = 0

  get length (): number {
    return this.#length
  }

  append (piece: Buffer): void {
    for (let start = 0; start < piece.length;) {
      this.#reserve(this.#lastLength + piece.length - start)
      const copied = piece.copy(this.#last, this.#lastLength, start)
      start += copied
      this.#lastLength += copied
      this.#length += copied
    }
  }

  /** Returns the last bytes, which stay in the buffer. */
  readLast (count: number): Buffer {
    if (count <= this.#lastLength) return this.#last.subarray(this.#lastLength - count, this.#lastLength)
    return this.#join().subarray(this.#length - count)
  }

  /** Returns what was collected and clears the buffer. */
  take (): Buffer {
    const taken = this.#join()
    this.clear()
    return taken
  }

  clear (): void {
    this.#blocks = []
    this.#last = emptyBuffer
    this.#lastLength = 0
    this.#length = 0
  }

  /** Makes room for at least one more byte in the last block, and for this many bytes in it if a block can hold them. */
  #reserve (lastLength: number): void {
    if (lastLength <= this.#last.length) return
    if (this.#lastLength === blockBytes) {
      this.#blocks.push(this.#last)
      this.#last = Buffer.allocUnsafeSlow(blockBytes)
      this.#lastLength = 0
    } else if (this.#last.length < blockBytes) {
      const grown = Buffer.allocUnsafe(Math.min(blockBytes, Math.max(minCapacity, lastLength, this.#last.length * 2)))
      this.#last.copy(grown, 0, 0, this.#lastLength)
      this.#last = grown
    }
  }

  #join (): Buffer {
    const last = this.#last.subarray(0, this.#lastLength)
    return this.#blocks.length === 0 ? last : Buffer.concat([...this.#blocks, last], this.#length)
  }
}
