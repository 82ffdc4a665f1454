/** Human-readable formats of targets and durations. */
import type { Target } from '../schemas/configuration.js'

const unitMs: Record<string, number> = { ms: 1, s: 1000, min: 60_000, h: 3_600_000 }

/**
 * Parses a duration such as `450ms`, `2.5s`, `10min` or `4h`; returns undefined if it is malformed or below 1 ms.
 *
 * @example
 * parseDurationMs('4h') // 14400000
 */
export function parseDurationMs (text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|min|h)$/.exec(text)
  if (!match) return undefined
  const ms = Math.round(Number(match[1]) * unitMs[match[2]!]!)
  return ms >= 1 ? ms : undefined
}

/**
 * Formats a duration in the largest unit that represents it exactly with at most one decimal; otherwise in seconds or
 * milliseconds, rounded.
 *
 * @example
 * formatDuration(14_400_000) // '4h'
 */
export function formatDuration (ms: number): string {
  const unit = ['h', 'min', 's'].find(name => Math.abs(ms) >= unitMs[name]! && ms * 10 % unitMs[name]! === 0)
  if (unit) return `${ms / unitMs[unit]!}${unit}`
  return Math.abs(ms) >= 10_000 ? `${(ms / 1000).toFixed(1)}s` : `${Math.round(ms)}ms`
}

/**
 * Formats a target as a phrase.
 *
 * @example
 * formatTarget({ kind: 'firstTokenWithin', ms: 450 }) // 'first token within 450ms'
 */
export function formatTarget (target: Target): string {
  switch (target.kind) {
    case 'firstTokenWithin': return `first token within ${formatDuration(target.ms)}`
    case 'wholeAnswerWithin': return `whole answer within ${formatDuration(target.ms)}`
    case 'finishWithin': return `finish within ${formatDuration(target.ms)}`
    case 'finishByTimeOfDay': return `finish by ${target.time} UTC`
  }
}
