/** Estimates an engine's prefill backlog as time; prefill is the resource that an engine exhausts first. */

import { isPlausibleSlowness, MomentarySlowness } from './momentarySlowness.js'

/** Prompt tokens that an engine processes in a millisecond; the published engines process 38.7. */
const tokensPerMs = 38.7
/** Milliseconds for a million token pairs in attention; the published engines take 0.737. */
const msPerMillionPairs = 0.737
/** Fraction of its time that an engine has for prefill; the rest is spent on decoding running requests. */
export const prefillTimeRatio = 0.8
/** Time constant of the exponential decay of past prefill time in the utilization. */
const utilizationDecayMs = 1000
/** Weight of the newest measurement in the slowdown. */
const smoothing = 0.03
/** Ratios beyond these bounds have other causes than the engine's speed. */
const minSlowdown = 0.8
const maxSlowdown = 4
/**
 * The same three where the endpoint reports its momentary slowness: what is measured then shows the engine's own speed, which is
 * between 0.55 and 1.2 of the usual in the published deployments.
 */
const reportedSmoothing = 0.1
const minReportedSlowdown = 0.4
const minReportedMeasuredMs = 30
/** Expected times below this say little about the slowdown, as one step of an engine takes up to 60 ms. */
const minMeasuredMs = 60

export class PrefillBacklog {
  #backlogMs = 0
  #usedMs = 0
  #updatedAtMs = 0
  /** Measured over expected time; above 1 for a slow engine. */
  #slowdown = 1
  #slowness = new MomentarySlowness()

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

  /** Time that the engine takes for the backlog beside decoding, at its present slowness. */
  getTimeMs (nowMs: number): number {
    return this.getBacklogMs(nowMs) / prefillTimeRatio * this.#slowness.estimate(nowMs)
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

  /** How much longer than usual work takes there at the moment; 1 where the endpoint does not report it. */
  getSlowness (nowMs: number): number {
    return this.#slowness.estimate(nowMs)
  }

  /** Records the slowness that the endpoint reported at a time. */
  recordSlowness (slowness: number, reportedAtMs: number, nowMs: number): void {
    this.#update(nowMs)
    this.#slowness.record(slowness, reportedAtMs)
  }

  /**
   * Updates the slowdown from the time to a first chunk and the time that was expected when the reservation was granted.
   * `slowness`: what the endpoint reported with that chunk.
   */
  recordFirstChunk (expectedMs: number, measuredMs: number, slowness?: number): void {
    const isReported = slowness !== undefined && isPlausibleSlowness(slowness)
    if (expectedMs < (isReported ? minReportedMeasuredMs : minMeasuredMs)) return
    const ratio = measuredMs / expectedMs * this.#slowdown / (isReported ? slowness : 1)
    this.#slowdown += (isReported ? reportedSmoothing : smoothing) * (Math.min(maxSlowdown, Math.max(isReported ? minReportedSlowdown : minSlowdown, ratio)) - this.#slowdown)
  }

  clear (): void {
    this.#backlogMs = 0
    this.#usedMs = 0
    this.#slowness.clear()
  }

  #update (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#backlogMs = Math.max(0, this.#backlogMs - elapsedMs * prefillTimeRatio / this.#slowness.estimate(nowMs))
    this.#usedMs *= Math.exp(-elapsedMs / utilizationDecayMs)
    this.#updatedAtMs = nowMs
  }
}
