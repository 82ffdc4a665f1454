/** Decides when read buffers are collected, which are garbage soon after they were read. */

export interface ReadBufferLimitOptions {
  /** Memory outside of the heap, beyond which buffers are collected. */
  maxBytes: number
  /** Measures the memory outside of the heap, with garbage that has not been collected. */
  measureBytes: () => number
  collect: () => void
}

/** Part of the limit that is read between two measurements, so that these cost nothing at ordinary rates. */
const measuredFraction = 0.25

/**
 * Collects buffers where reading outpaces the collector of V8, which runs as the heap grows, and lets up to 32 MB of buffers lie that the heap does
 * not show.
 *
 * @example
 * const limit = new ReadBufferLimit({ maxBytes: 16_000_000, measureBytes: measureExternalBytes, collect: collectYoungGarbage })
 * limit.add(chunk.length)
 */
export class ReadBufferLimit {
  #options: ReadBufferLimitOptions
  /** Bytes read since the last measurement. */
  #unmeasuredBytes = 0

  constructor (options: ReadBufferLimitOptions) {
    this.#options = options
  }

  /** Adds bytes that were read into a buffer. */
  add (bytes: number): void {
    const { maxBytes, measureBytes, collect } = this.#options
    this.#unmeasuredBytes += bytes
    if (this.#unmeasuredBytes < maxBytes * measuredFraction) return
    this.#unmeasuredBytes = 0
    if (measureBytes() > maxBytes) collect()
  }
}
