/** Decides from what a host's links have observed which endpoints the host reaches, and which of them to probe. */
import type { LinkActivity } from '../ports/endpointLink.js'

/** A request without any sign of its endpoint for this long makes the host probe the endpoint. */
const silenceMs = 300
/** One connection that failed may be the endpoint's; after this time without any sign of it, the endpoint counts as unreachable. */
const minFailingMs = 600
const probeIntervalMs = 300

/**
 * Whether the host can open no connection to an endpoint. An endpoint that still sends on open connections counts as unreachable
 * once connections have failed for a while, as no further request would get one.
 *
 * @example
 * isUnreachable({ lastContactAtMs: 1000, waitingSinceMs: 1100, connectFailingSinceMs: 1900 }, 2000) // true
 */
export function isUnreachable ({ lastContactAtMs, connectFailingSinceMs }: LinkActivity, nowMs: number): boolean {
  if (connectFailingSinceMs === undefined) return false
  return nowMs - lastContactAtMs >= silenceMs || nowMs - connectFailingSinceMs >= minFailingMs
}

export interface ProbeDecision {
  nowMs: number
  lastProbeAtMs: number
  /** Whether another endpoint can't be reached, so that the host may have lost its links to all. */
  isOtherUnreachable: boolean
}

/** Whether to find out now if an endpoint can be reached. */
export function shouldProbe ({ lastContactAtMs, waitingSinceMs, connectFailingSinceMs }: LinkActivity, { nowMs, lastProbeAtMs, isOtherUnreachable }: ProbeDecision): boolean {
  if (nowMs - lastProbeAtMs < probeIntervalMs) return false
  if (connectFailingSinceMs !== undefined) return true
  const isSilent = nowMs - lastContactAtMs >= silenceMs
  const isWaiting = waitingSinceMs !== undefined && nowMs - waitingSinceMs >= silenceMs
  return isSilent && (isWaiting || isOtherUnreachable)
}

/** Endpoints that have to be unreachable, if there are as many, so that one that fails doesn't pass for a lost link. */
const minUnreachable = 2

/**
 * Whether a host reaches none of a service's endpoints: all are unreachable, or some are and none has shown a sign of itself
 * since, in a time in which those that are only idle answer a probe. `activities` has an entry for each endpoint, undefined for
 * those that the host never used.
 *
 * @example
 * isServiceStranded([{ lastContactAtMs: 0, waitingSinceMs: 10, connectFailingSinceMs: 800 }], 2000) // true
 */
export function isServiceStranded (activities: readonly (LinkActivity | undefined)[], nowMs: number): boolean {
  const used = activities.filter(activity => activity !== undefined)
  const unreachable = used.filter(activity => isUnreachable(activity, nowMs))
  if (unreachable.length === 0 || unreachable.length < Math.min(minUnreachable, activities.length)) return false
  if (unreachable.length === activities.length) return true
  const failingSinceMs = Math.min(...unreachable.map(({ connectFailingSinceMs }) => connectFailingSinceMs!))
  return nowMs - failingSinceMs >= silenceMs && used.every(({ lastContactAtMs }) => lastContactAtMs < failingSinceMs)
}

/** Whether any of the links has shown a sign of its endpoint just now. */
export function isAnyContactRecent (activities: readonly LinkActivity[], nowMs: number): boolean {
  return activities.some(({ lastContactAtMs }) => nowMs - lastContactAtMs < silenceMs)
}
