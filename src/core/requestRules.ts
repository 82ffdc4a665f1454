/**
 * The rules that guarantee complete answers and correct verdicts for requests with several attempts. They are functions, so
 * that tests can disable each one.
 */
import { applyEarlierAttempts } from '../schemas/verdict.js'
import type { Verdict } from '../schemas/verdict.js'

/** Progress of a request: its current attempt and the answer part that is expected next. */
export interface ExpectedAnswerPart {
  attempt: number
  hostId: string
  nextSequence: number
}

/** The attempt and the answer part that a message belongs to. */
export interface ReceivedAnswerPart {
  attempt: number
  hostId: string
  /** Sequence number of the part, or the number of parts in a final message; undefined if the attempt failed. */
  sequence: number | undefined
}

/** `take`: pass the part on; `drop`: ignore it; `gap`: an earlier part is missing. */
export type AnswerPartAction = 'take' | 'drop' | 'gap'

export interface RequestRules {
  checkAnswerPart: (expected: ExpectedAnswerPart, received: ReceivedAnswerPart) => AnswerPartAction
  /** Whether the verdict on an attempt allows another attempt. */
  canRetry: (verdict: Verdict, isRetryable: boolean) => boolean
  /** Combines the last failure with the outcome of earlier attempts. */
  mergeAttempts: typeof applyEarlierAttempts
}

/** Accepts the parts of the current attempt in order, and drops all messages of superseded attempts. */
export function classifyAnswerPart (expected: ExpectedAnswerPart, received: ReceivedAnswerPart): AnswerPartAction {
  if (received.attempt !== expected.attempt || received.hostId !== expected.hostId) return 'drop'
  if (received.sequence === undefined || received.sequence === expected.nextSequence) return 'take'
  return received.sequence < expected.nextSequence ? 'drop' : 'gap'
}

/** A request that was not run may run elsewhere; one that may have run, only if running it twice does no harm. */
export function canRetryAfterVerdict (verdict: Verdict, isRetryable: boolean): boolean {
  return verdict === 'notRun' || (verdict === 'mayHaveRun' && isRetryable)
}

export const requestRules: RequestRules = Object.freeze({ checkAnswerPart: classifyAnswerPart, canRetry: canRetryAfterVerdict, mergeAttempts: applyEarlierAttempts })
