/** Estimates which prompt prefixes an engine has cached, so that the prefill time of a prompt is known before it is sent. */

/** One segment of a prompt. Segments are cached by adapter, and a segment is only reused while all segments before it are cached. */
export interface PromptSegment {
  readonly id: string
  readonly tokens: number
}

export class PrefixCacheEstimate {
  #capacityTokens: number
  /** Tokens by adapter and path of segment ids, the most recently used last. */
  #cached = new Map<string, number>()
  #tokens = 0

  /** `capacityTokens`: tokens that the engine's memory can cache beside running requests. */
  constructor (capacityTokens: number) {
    this.#capacityTokens = capacityTokens
  }

  /** Computes how many tokens of a prompt the engine has to process. `segments` need not cover all of the prompt's tokens. */
  countUncachedTokens (adapter: string, segments: readonly PromptSegment[], promptTokens: number): number {
    let path = adapter
    let cachedTokens = 0
    for (const { id, tokens } of segments) {
      path = `${path}/${id}`
      if (!this.#cached.has(path)) break
      cachedTokens += tokens
    }
    return Math.max(1, promptTokens - cachedTokens)
  }

  /** Records that the engine processes a prompt and caches its segments. */
  recordPrefill (adapter: string, segments: readonly PromptSegment[]): void {
    let path = adapter
    for (const { id, tokens } of segments) {
      path = `${path}/${id}`
      this.#tokens += tokens - (this.#cached.get(path) ?? 0)
      // Deleting first keeps the map in order of the last use.
      this.#cached.delete(path)
      this.#cached.set(path, tokens)
    }
    for (const [oldest, tokens] of this.#cached) {
      if (this.#tokens <= this.#capacityTokens) return
      this.#cached.delete(oldest)
      this.#tokens -= tokens
    }
  }

  /** Removes an adapter's segments, as the engine drops them when it unloads the adapter. */
  removeAdapter (adapter: string): void {
    for (const [path, tokens] of this.#cached) {
      if (!path.startsWith(`${adapter}/`)) continue
      this.#cached.delete(path)
      this.#tokens -= tokens
    }
  }

  clear (): void {
    this.#cached.clear()
    this.#tokens = 0
  }
}
