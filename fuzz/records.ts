/** What callers and operators of the fuzzed system ask for, and what they were told. */
import type { RequestFailure } from '../src/schemas/verdict.js'

/** What a caller asked for and was told. */
export interface AskedRecord {
  requestId: string
  /** Work with the same key may run at most once. */
  idempotencyKey: string | undefined
  gatewayId: string
  startedAtMs: number
  endedAtMs: number | undefined
  text: string
  outcome: 'open' | 'whole' | 'failed' | 'cancelled'
  failure: RequestFailure | undefined
  /** Whether the answer is that of an earlier request with the same key. */
  isReplayed: boolean
  /** Whether a fault stood, or had lately stood, while the request was open. */
  isDisturbed: boolean
}

/** A request for a model. */
export interface CallerRecord extends AskedRecord {
  adapter: string
  version: string
  tokens: number
}

/** A call of a plain service. */
export interface CallRecord extends AskedRecord {
  content: string
  /** Whether running it twice does no harm. */
  isIdempotent: boolean
}

/** A job that was submitted, and whether it was accepted. */
export interface JobRecord {
  /** What the job asks; no other job or request asks it. */
  content: string
  adapter: string
  version: string
  tokens: number
  runsAtMostOnce: boolean
  callerName: string
  id: string | undefined
  /** Set where the job was refused. */
  failure: RequestFailure | undefined
  /** State and answer as stored, read when the system has settled. */
  state: string | undefined
  text: string | undefined
}

export interface RequestPlan {
  gateway: number
  model: string
  tokens: number
  content: string
  className: string
  /** Left out, the work may be repeated. */
  key?: string | undefined
}

export interface CallPlan {
  gateway: number
  isIdempotent: boolean
  key?: string | undefined
}

export interface JobPlan {
  gateway: number
  model: string
  tokens: number
  runsAtMostOnce: boolean
}

/** A change of an adapter's current version, as an operator asks for it on one host. */
export interface ChangePlan {
  gateway: number
  adapter: string
  currentVersion: string
}

/** A change that an operator was told is accepted. */
export interface AcceptedChange {
  version: number
  atMs: number
}

/** Time for which the list showed an endpoint as leaving. */
export interface Leaving {
  endpointId: string
  fromMs: number
  untilMs: number
}
