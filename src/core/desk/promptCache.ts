/** Estimates which parts of prompts an engine keeps, so that the work of a prompt can be told before it is sent. */

/** One part of a prompt: parts are kept for an adapter, and only while all parts before them are. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

export class PromptCache {
  #capacity: number
  /** Tokens by adapter and path of parts, the latest used last. */
  #kept = new Map<string, number>()
  #tokens = 0

  /** `capacity`: tokens that the engine's memory holds beside what runs. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Tokens of a prompt that the engine has to read. `parts` leave out tokens that no part names. */
  countMissing (adapter: string, parts: readonly PromptPart[], promptTokens: number): number {
    let path = adapter
    let kept = 0
    for (const { id, tokens } of parts) {
      path = `${path}/${id}`
      if (!this.#kept.has(path)) break
      kept += tokens
    }
    return Math.max(1, promptTokens - kept)
  }

  /** The engine reads the prompt and keeps its parts. */
  recordRead (adapter: string, parts: readonly PromptPart[]): void {
    let path = adapter
    for (const { id, tokens } of parts) {
      path = `${path}/${id}`
      this.#tokens += tokens - (this.#kept.get(path) ?? 0)
      // Deleting first keeps the map in order of the last use.
      this.#kept.delete(path)
      this.#kept.set(path, tokens)
    }
    for (const [oldest, tokens] of this.#kept) {
      if (this.#tokens <= this.#capacity) return
      this.#kept.delete(oldest)
      this.#tokens -= tokens
    }
  }

  /** An adapter's parts go with it. */
  forgetAdapter (adapter: string): void {
    for (const [path, tokens] of this.#kept) {
      if (!path.startsWith(`${adapter}/`)) continue
      this.#kept.delete(path)
      this.#tokens -= tokens
    }
  }

  clear (): void {
    this.#kept.clear()
    this.#tokens = 0
  }
}
