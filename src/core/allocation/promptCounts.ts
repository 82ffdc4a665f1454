/** Replaces implausible token counts of prompts by the usual count of their route. */

/** Weight of the newest count in a route's moving average. */
const smoothing = 0.05
/** Count for a route of which no plausible one is known; the published prompts have some 500 tokens. */
const initialTokens = 500
const maxRoutes = 256
/** Limit on plausible counts where the size of the cache is unknown; the longest published prompts have 39,600 tokens. */
const defaultMaxTokens = 10_000_000

export class PromptCounts {
  #maxTokens: number
  #usual = new Map<string, number>()

  /** `maxTokens`: more than a prompt can have; 0 if unknown. */
  constructor (maxTokens: number) {
    this.#maxTokens = maxTokens > 0 ? maxTokens : defaultMaxTokens
  }

  /**
   * Returns the count of a prompt, or the usual one of its route if it is missing, zero, negative or more than the engine can hold.
   *
   * @example
   * counts.estimate('chat', 480) // 480
   * counts.estimate('chat', -1) // 480
   */
  estimate (route: string, promptTokens: number): number {
    const usual = this.#usual.get(route)
    if (!(promptTokens > 0 && promptTokens <= this.#maxTokens)) return Math.min(this.#maxTokens, usual ?? initialTokens)
    if (usual === undefined && this.#usual.size >= maxRoutes) this.#usual.delete(this.#usual.keys().next().value!)
    this.#usual.set(route, usual === undefined ? promptTokens : usual + smoothing * (promptTokens - usual))
    return promptTokens
  }
}
