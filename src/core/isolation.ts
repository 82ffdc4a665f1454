/** Distinguishes a host that is isolated from its peers from a host whose peers have all stopped. */

export interface PeerContactTimes {
  nowMs: number
  /** When the last message from any peer arrived. */
  lastPeerMessageAtMs: number
  /** When this host last read a changed renewal of another host directly from the store. */
  lastPeerRenewalAtMs: number
}

/** Time without a message from any peer, although peers were asked, after which the host or its peers must be isolated. */
const peerTimeoutMs = 1500
/** A renewal that changed within this time shows that a peer is running; allows for two renewals and a read. */
const renewalFreshnessMs = 3000

/**
 * Whether this host is isolated: it receives no messages from peers, while the store shows that peers are running.
 *
 * @example
 * isIsolated({ nowMs: 9000, lastPeerMessageAtMs: 7000, lastPeerRenewalAtMs: 8500 }) // true
 */
export function isIsolated ({ nowMs, lastPeerMessageAtMs, lastPeerRenewalAtMs }: PeerContactTimes): boolean {
  return nowMs - lastPeerMessageAtMs > peerTimeoutMs && nowMs - lastPeerRenewalAtMs < renewalFreshnessMs
}
