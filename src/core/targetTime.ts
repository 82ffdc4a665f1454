/** Computes when a request must meet the target of its class. */
import type { Target } from '../schemas/configuration.js'

const dayMs = 24 * 60 * 60 * 1000
const hourMs = 60 * 60 * 1000
const minuteMs = 60 * 1000

/**
 * Computes the time from the request's arrival to its target, in milliseconds.
 * A time of day means its next occurrence after the arrival, in UTC.
 *
 * @example
 * computeDueInMs({ kind: 'firstTokenWithin', ms: 450 }, Date.now()) // 450
 */
export function computeDueInMs (target: Target, arrivedAtWallMs: number): number {
  if (target.kind !== 'finishByTimeOfDay') return target.ms
  const [hours, minutes] = target.time.split(':')
  const dueTimeOfDayMs = Number(hours) * hourMs + Number(minutes) * minuteMs
  const arrivalTimeOfDayMs = arrivedAtWallMs % dayMs
  return dueTimeOfDayMs > arrivalTimeOfDayMs ? dueTimeOfDayMs - arrivalTimeOfDayMs : dueTimeOfDayMs + dayMs - arrivalTimeOfDayMs
}

/** Whether no caller waits for the response, so that requests may be delayed and batched. */
export function isDeferrable (target: Target): boolean {
  return target.kind === 'finishWithin' || target.kind === 'finishByTimeOfDay'
}
