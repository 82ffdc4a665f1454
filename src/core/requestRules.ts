/** The rules that callers' promises rest on while a request has several attempts; tests switch each one off. */
import { addEarlierAttempts } from '../schemas/verdict.js'
import type { Verdict } from '../schemas/verdict.js'

/** Where a request stands: its current attempt and the part of the answer that comes next. */
export interface AnswerPosition {
  attempt: number
  hostId: string
  nextSequence: number
}

/** What a message about an answer says of its place. */
export interface AnswerPlace {
  attempt: number
  hostId: string
  /** Number of the part, or of parts before the end; left out where the attempt failed. */
  sequence: number | undefined
}

/** `gap`: a part before this one is missing. */
export type AnswerCheck = 'take' | 'drop' | 'gap'

export interface RequestRules {
  checkAnswer: (position: AnswerPosition, place: AnswerPlace) => AnswerCheck
  /** Whether the verdict on an attempt allows another one. */
  mayRepeat: (verdict: Verdict, isRepeatable: boolean) => boolean
  /** Joins the last failure with earlier attempts. */
  joinAttempts: typeof addEarlierAttempts
}

/** Takes the parts of the current attempt in order; everything from a superseded attempt is dropped. */
export function checkAnswer (position: AnswerPosition, place: AnswerPlace): AnswerCheck {
  if (place.attempt !== position.attempt || place.hostId !== position.hostId) return 'drop'
  if (place.sequence === undefined || place.sequence === position.nextSequence) return 'take'
  return place.sequence < position.nextSequence ? 'drop' : 'gap'
}

/** What was not run may run elsewhere; what may have run only where running twice does no harm. */
export function mayRepeat (verdict: Verdict, isRepeatable: boolean): boolean {
  return verdict === 'notRun' || (verdict === 'mayHaveRun' && isRepeatable)
}

export const requestRules: RequestRules = Object.freeze({ checkAnswer, mayRepeat, joinAttempts: addEarlierAttempts })
