/** The order in which requests wait for an endpoint of a plain service. */

/** A request that is late as it comes waits for this long at most, behind those that can be on time. */
const maxLateWaitMs = 60

/** A request's turn among those that wait for an endpoint. */
export interface DispatchTurn {
  /** Whether its account has had more than its fair share. */
  isOverShare: boolean
  /** Whether its answer would have been late already if it had been granted as it came. */
  isLate: boolean
  /** Time by which it has to be granted. */
  deadlineMs: number
}

export interface DispatchTimesLeft {
  readonly dueInMs: number
  readonly uselessInMs: number
}

/**
 * Computes the turn of a request that comes now. `answerMs`: time from a grant to the end of the answer.
 *
 * @example
 * computeDispatchTurn({ dueInMs: 199, uselessInMs: 800 }, 45, false, 1000) // { isOverShare: false, isLate: false, deadlineMs: 1154 }
 */
export function computeDispatchTurn ({ dueInMs, uselessInMs }: DispatchTimesLeft, answerMs: number, isOverShare: boolean, nowMs: number): DispatchTurn {
  const isLate = dueInMs < answerMs
  const latestMs = isLate ? maxLateWaitMs : dueInMs - answerMs
  return { isOverShare, isLate, deadlineMs: nowMs + Math.min(Math.max(0, uselessInMs - answerMs), latestMs) }
}

/**
 * Orders requests of accounts within their share first, then those that can be on time, then by deadline.
 *
 * @example
 * turns.sort(compareDispatchTurns)
 */
export function compareDispatchTurns (left: DispatchTurn, right: DispatchTurn): number {
  return Number(left.isOverShare) - Number(right.isOverShare) || Number(left.isLate) - Number(right.isLate) || left.deadlineMs - right.deadlineMs
}
