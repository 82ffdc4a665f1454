/** How a host treats an endpoint that falls over when it has to reject many requests: it foresees rejections rather than provoke them. */

/** A host whose request was rejected stays away for this long at least, as the endpoint had no room just now. */
const minPauseMs = 250
/** And at most, so that the host finds out when the endpoint has room again. */
const maxPauseMs = 5000

/**
 * Requests that one host may have at a brittle endpoint: its share of those that the endpoint runs at once, as none may wait there.
 *
 * @example
 * computeBrittleShare(6, 3) // 2
 */
export function computeBrittleShare (places: number, hostCount: number): number {
  return Math.max(1, Math.floor(places / Math.max(1, hostCount)))
}

/**
 * How long a host sends nothing to a brittle endpoint that has rejected one of its requests, so that the hosts together stay
 * within what it bears. `draw` is from 0 to 1; it keeps hosts from coming back at once.
 *
 * @example
 * computeBrittlePauseMs(3, 9, 0) // 3000
 */
export function computeBrittlePauseMs (maxRejectionsPerSecond: number, hostCount: number, draw: number): number {
  const intervalMs = maxRejectionsPerSecond > 0 ? 1000 * hostCount / maxRejectionsPerSecond : maxPauseMs
  return Math.min(maxPauseMs, Math.max(minPauseMs, intervalMs)) * (1 + draw)
}
