/** What a host's process knows of itself and of the promises it keeps; it never changes while the process runs. */

export interface HostSettings {
  readonly hostName: string
  /** IP number under which peers reach this host. */
  readonly address: string
  readonly zone: string
  /** Each of these is `ip:port`. */
  readonly callersAddress: string
  readonly readinessAddress: string
  readonly peersAddress: string
  /** UDP port of every host for messages between hosts. */
  readonly datagramPort: number
  /** Peers' addresses of a few hosts, which may be stale. */
  readonly seedAddresses: readonly string[]
  readonly storeAddress: string
  readonly memoryMb: number
  readonly maxDescriptors: number
  /** Time between two reports of an endpoint in the store. */
  readonly heartbeatMs: number
  /** An endpoint that leaves gets no new work after this time. */
  readonly drainMs: number
  /** From SIGTERM to SIGKILL. */
  readonly shutdownMs: number
  /** A configuration must be in force everywhere after this time. */
  readonly configurationMs: number
  /** All hosts together may send this many repeats for each request of a window, and `retryExtra` beyond. */
  readonly retryShare: number
  readonly retryExtra: number
  readonly retryWindowMs: number
  /** Time within which two hosts must not take turns at giving an endpoint orders. */
  readonly leaseMs: number
  /** Requests must begin on a new adapter version after this time. */
  readonly versionMs: number
}
