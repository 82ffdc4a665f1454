/** A place at an engine, from its ask to its end. */
import type { Held, PlaceAnswer, PlaceAsk } from '../../schemas/datagram.js'

export type AnswerAsk = (answer: PlaceAnswer) => void

export interface Place {
  readonly key: string
  readonly ask: PlaceAsk
  readonly answer: AnswerAsk
  version: number
  /** Monotonic milliseconds. */
  readonly receivedAtMs: number
  isGranted: boolean
  /** The last answer, for an ask that comes again. */
  lastAnswer: PlaceAnswer | undefined
}

/** A place of a request that a front runs without having asked this owner; what only counts before a grant is left open. */
export function createHeldPlace (endpointId: string, key: string, held: Held['places'][number], receivedAtMs: number): Place {
  const ask: PlaceAsk = {
    type: 'ask', endpointId, requestId: '', route: '', rank: 0, dueInMs: 0, uselessInMs: 0, promptTokens: 0, maxTokens: 0, parts: [], mayDecline: false, ...held
  }
  return { key, ask, answer: () => {}, version: held.version, receivedAtMs, isGranted: true, lastAnswer: undefined }
}
