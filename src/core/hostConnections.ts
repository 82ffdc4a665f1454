/** Divides the connections that an endpoint accepts among the hosts. */

/** Fraction of an endpoint's connection limit that all hosts together use; its operators and health checks need the rest. */
const usableConnectionsFraction = 0.9

/**
 * Computes how many connections one host may open to an endpoint; it always has one, however low the limit is.
 *
 * @example
 * computeHostConnections(100, 7) // 12
 */
export function computeHostConnections (maxConnections: number, hostCount: number): number {
  return Math.max(1, Math.floor(usableConnectionsFraction * maxConnections / Math.max(1, hostCount)))
}
