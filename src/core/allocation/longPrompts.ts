/**
 * Decides how an engine's owner treats long prompts beside short ones. An engine reads prompts in the order of arrival, so that a
 * short one behind a long one waits for all of it. The decisions take effect only while the engine is asked for prompts of very
 * different sizes, of which the long ones take a notable part of the time that the short ones have.
 */

import { prefillTimeRatio } from './prefillBacklog.js'

/** A prompt is long if its prefill takes this many times as long as that of a usual short one. */
const longRatio = 4
/** Prompts whose prefill takes less than this fraction of the short ones' time do not delay them notably. */
const notableRatio = 0.15
/** A request is declined if it would wait behind long prompts for more than this fraction of its time. */
const maxWaitRatio = 0.15
/** A short prompt is one of the shortest quarter; a smaller fraction would follow outliers. */
const shortQuantile = 0.25
/** Change of the logarithm of the short prefill time with each request: it follows a new load within some 50 requests. */
const quantileStep = 0.1
/** Weight of the newest request in the moving average of the time that short ones have. */
const targetSmoothing = 0.05
/** Engines are short of capacity for this long after one of them had to decide about a short request that others declined. */
const pressureMs = 300
/** A long prompt that waits for short ones starts at the latest after this fraction of its time, or after the minimum. */
const maxLongWaitRatio = 0.075
const minLongWaitMs = 250
/** A long prompt that cannot be on time anywhere is refused only if it would wait for longer than this. */
const maxLateStartMs = 400
/** Time from the end of such a prompt until the next one, so that requests that can be on time get most of the engine. */
const lateIntervalMs = 3000
/** Fraction of the time that a long prompt can spare beside its prefill for which it may be held back. */
const slackRatio = 0.15
/** Backlog up to which an engine is idle soon, so that nothing that waits is held back. */
const idleBacklogMs = 20

export interface PromptFacts {
  readonly prefillMs: number
  /** Time until its answer is due; negative if it is late. */
  readonly dueInMs: number
  readonly mayDecline: boolean
}

export class LongPrompts {
  /** Natural logarithm of the prefill time of a usual short prompt; undefined before the first request. */
  #shortLog: number | undefined
  #shortTargetMs: number | undefined
  #pressedAtMs = -Infinity
  /** When the prefill of the long prompts granted so far is expected to be done. */
  #longUntilMs = -Infinity
  /** The same for those that could not be on time. */
  #lateUntilMs = -Infinity

  /** Records a request as it arrives, whatever is decided about it. */
  recordArrival ({ prefillMs, dueInMs, mayDecline }: PromptFacts, nowMs: number): void {
    const log = Math.log(Math.max(1, prefillMs))
    this.#shortLog ??= log
    this.#shortLog += quantileStep * (log < this.#shortLog ? shortQuantile - 1 : log > this.#shortLog ? shortQuantile : 0)
    if (this.isLong(prefillMs) || dueInMs <= 0) return
    this.#shortTargetMs = this.#shortTargetMs === undefined ? dueInMs : this.#shortTargetMs + targetSmoothing * (dueInMs - this.#shortTargetMs)
    if (!mayDecline) this.#pressedAtMs = nowMs
  }

  /** Whether a prompt delays short ones notably. */
  isLong (prefillMs: number): boolean {
    if (this.#shortLog === undefined || this.#shortTargetMs === undefined) return false
    return prefillMs > longRatio * Math.exp(this.#shortLog) && prefillMs > notableRatio * this.#shortTargetMs
  }

  /**
   * Time within which a request may always start, as the prefill of the longest prompts alone takes more than their targets allow and
   * they would be refused by all engines; negative for others, and for some time after the engine has read such a prompt.
   */
  computeStartGraceMs (prefillMs: number, nowMs: number): number {
    return this.isLong(prefillMs) && nowMs - this.#lateUntilMs >= lateIntervalMs ? maxLateStartMs : -Infinity
  }

  /** Records that a prompt was granted, with which the engine is busy until a time. */
  recordGranted ({ prefillMs, dueInMs }: PromptFacts, busyUntilMs: number): void {
    if (!this.isLong(prefillMs)) return
    this.#longUntilMs = Math.max(this.#longUntilMs, busyUntilMs)
    if (dueInMs < prefillMs / prefillTimeRatio) this.#lateUntilMs = busyUntilMs
  }

  /** Time until the engine has read the long prompts granted so far; 0 if there are none. */
  getReadingMs (nowMs: number): number {
    return Math.max(0, this.#longUntilMs - nowMs)
  }

  /** Whether the engine reads a long prompt, or has one in its queue. */
  isReadingLong (nowMs: number): boolean {
    return nowMs < this.#longUntilMs
  }

  /**
   * Computes the backlog above which a request is declined as it would wait behind a long prompt, so that an engine without one
   * takes it; infinite if there is none. `otherStartMs`: time that another engine needs before it can start the request.
   *
   * @example
   * longPrompts.computeMaxBacklogMs({ prefillMs: 13, dueInMs: 500, mayDecline: true }, 0, nowMs) // 75 behind a long prompt
   */
  computeMaxBacklogMs ({ dueInMs }: PromptFacts, otherStartMs: number, nowMs: number): number {
    if (!this.isReadingLong(nowMs)) return Infinity
    return Math.max(idleBacklogMs, otherStartMs, maxWaitRatio * dueInMs)
  }

  /**
   * Computes the time for which a long prompt that waits may be held back: while short requests find no other engine, unless this
   * one would be idle or the prompt has waited for long enough. It then leaves the engine to short ones; 0 if it may start.
   */
  computeHoldMs ({ prefillMs, dueInMs }: PromptFacts, waitedMs: number, backlogMs: number, nowMs: number): number {
    if (!this.isLong(prefillMs) || backlogMs <= idleBacklogMs) return 0
    const pressedForMs = this.#pressedAtMs + pressureMs - nowMs
    const slackMs = dueInMs > 0 ? slackRatio * (dueInMs - (prefillMs + backlogMs) / prefillTimeRatio) : Infinity
    const maxWaitMs = Math.max(minLongWaitMs, maxLongWaitRatio * (dueInMs + waitedMs))
    return Math.max(0, Math.min(pressedForMs, maxWaitMs - waitedMs, slackMs, backlogMs - idleBacklogMs))
  }
}
