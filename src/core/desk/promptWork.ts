/** How much prompt reading an engine has before it, as time; reading prompts is what an engine runs out of first. */

/** Tokens that an engine reads in a millisecond; the published engines read 38.7. */
const tokensPerMs = 38.7
/** Milliseconds for a million pairs of tokens that attend to each other; the published engines take 0.737. */
const msPerMillionPairs = 0.737
/** Part of its time that an engine has for prompts, the rest going into the tokens of what runs. */
const readingPart = 0.8
/** Time after which past work counts 1/e in the engine's use. */
const useTermMs = 1000
/** Weight of the newest observation of the engine's pace. */
const smoothing = 0.03
/** Paces beyond these come from something else than the engine's speed. */
const minPace = 0.8
const maxPace = 4
/** Waits shorter than this say little about the pace, as an engine's step takes up to 60 ms. */
const minObservedMs = 60

export class PromptWork {
  #backlogMs = 0
  #usedMs = 0
  #updatedAtMs = 0
  /** Measured time over expected time; above 1 for a slow engine. */
  #pace = 1

  /** Time that the engine needs to read so many tokens of a prompt of a length, at its own pace. */
  computeReadMs (missingTokens: number, promptTokens: number): number {
    const pairs = missingTokens * promptTokens / 1e6
    return this.#pace * (missingTokens / tokensPerMs + msPerMillionPairs * pairs)
  }

  /** Time until a prompt that is sent now begins to be read. */
  readBacklogMs (nowMs: number): number {
    this.#update(nowMs)
    return this.#backlogMs
  }

  /** Part of the engine's time that prompts took of late; 1 where it did nothing else. */
  readUse (nowMs: number): number {
    this.#update(nowMs)
    return this.#usedMs / useTermMs
  }

  get pace (): number {
    return this.#pace
  }

  recordGranted (readMs: number, nowMs: number): void {
    this.#update(nowMs)
    this.#backlogMs += readMs
    this.#usedMs += readMs
  }

  /** Compares the time to a first part with what was expected when the place was granted. */
  recordFirstPart (expectedMs: number, measuredMs: number): void {
    if (expectedMs < minObservedMs) return
    const ratio = measuredMs / expectedMs * this.#pace
    this.#pace += smoothing * (Math.min(maxPace, Math.max(minPace, ratio)) - this.#pace)
  }

  clear (): void {
    this.#backlogMs = 0
    this.#usedMs = 0
  }

  #update (nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#backlogMs = Math.max(0, this.#backlogMs - passedMs * readingPart)
    this.#usedMs *= Math.exp(-passedMs / useTermMs)
    this.#updatedAtMs = nowMs
  }
}
