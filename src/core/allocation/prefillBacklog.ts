/** Estimates an engine's prefill backlog as time; prefill is the resource that an engine exhausts first. */

/** Prompt tokens that an engine processes in a millisecond; the published engines process 38.7. */
const tokensPerMs = 38.7
/** Milliseconds for a million token pairs in attention; the published engines take 0.737. */
const msPerMillionPairs = 0.737
/** Fraction of its time that an engine has for prefill; the rest is spent on decoding running requests. */
const prefillTimeRatio = 0.8
/** Time constant of the exponential decay of past prefill time in the utilization. */
const utilizationDecayMs = 1000
/** Weight of the newest measurement in the slowdown. */
const smoothing = 0.03
/** Ratios beyond these bounds have other causes than the engine's speed. */
const minSlowdown = 0.8
const maxSlowdown = 4
/** Expected times below this say little about the slowdown, as one step of an engine takes up to 60 ms. */
const minMeasuredMs = 60

export class PrefillBacklog {
  #backlogMs = 0
  #usedMs = 0
  #updatedAtMs = 0
  /** Measured over expected time; above 1 for a slow engine. */
  #slowdown = 1

  /** Computes the time that this engine takes for the uncached tokens of a prompt. */
  computePrefillMs (uncachedTokens: number, promptTokens: number): number {
    const millionPairs = uncachedTokens * promptTokens / 1e6
    return this.#slowdown * (uncachedTokens / tokensPerMs + msPerMillionPairs * millionPairs)
  }

  /** Time until the engine starts the prefill of a prompt that is sent now. */
  getBacklogMs (nowMs: number): number {
    this.#update(nowMs)
    return this.#backlogMs
  }

  /** Fraction of the engine's recent time that went into prefill; 1 where it did nothing else. */
  getUtilization (nowMs: number): number {
    this.#update(nowMs)
    return this.#usedMs / utilizationDecayMs
  }

  get slowdown (): number {
    return this.#slowdown
  }

  recordGranted (prefillMs: number, nowMs: number): void {
    this.#update(nowMs)
    this.#backlogMs += prefillMs
    this.#usedMs += prefillMs
  }

  /** Updates the slowdown from the time to a first chunk and the time that was expected when the reservation was granted. */
  recordFirstChunk (expectedMs: number, measuredMs: number): void {
    if (expectedMs < minMeasuredMs) return
    const ratio = measuredMs / expectedMs * this.#slowdown
    this.#slowdown += smoothing * (Math.min(maxSlowdown, Math.max(minSlowdown, ratio)) - this.#slowdown)
  }

  clear (): void {
    this.#backlogMs = 0
    this.#usedMs = 0
  }

  #update (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#backlogMs = Math.max(0, this.#backlogMs - elapsedMs * prefillTimeRatio)
    this.#usedMs *= Math.exp(-elapsedMs / utilizationDecayMs)
    this.#updatedAtMs = nowMs
  }
}
