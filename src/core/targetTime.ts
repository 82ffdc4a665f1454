/** When the target of a class is due for a request. */
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
  const dueOfDayMs = Number(hours) * hourMs + Number(minutes) * minuteMs
  const arrivedOfDayMs = arrivedAtWallMs % dayMs
  return dueOfDayMs > arrivedOfDayMs ? dueOfDayMs - arrivedOfDayMs : dueOfDayMs + dayMs - arrivedOfDayMs
}

/** Whether nobody waits at the other end, so that the work may be gathered into batches. */
export function isDeferrable (target: Target): boolean {
  return target.kind === 'finishWithin' || target.kind === 'finishByTimeOfDay'
}
