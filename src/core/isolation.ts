/** Tells a host that is cut off from its peers from one whose peers are gone. */

export interface IsolationView {
  nowMs: number
  /** When any peer was last heard. */
  heardAtMs: number
  /** When a renewal of another host last changed in the store, as this host read it there itself. */
  othersRenewedAtMs: number
}

/** Without a word from any peer for this long, although peers were asked, something is cut off. */
const silenceMs = 1500
/** Peers whose renewals changed this shortly ago live: two renewals and a read. */
const liveMs = 3000

/**
 * Whether this host is cut off: it hears nobody, while the store shows that others live.
 *
 * @example
 * isIsolated({ nowMs: 9000, heardAtMs: 7000, othersRenewedAtMs: 8500 }) // true
 */
export function isIsolated ({ nowMs, heardAtMs, othersRenewedAtMs }: IsolationView): boolean {
  return nowMs - heardAtMs > silenceMs && nowMs - othersRenewedAtMs < liveMs
}
