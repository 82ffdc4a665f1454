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
