/** A host's own settings and the limits that it must keep; they never change while the process runs. */

export interface HostSettings {
  readonly hostName: string
  /** IP address at which peers reach this host. */
  readonly address: string
  readonly zone: string
  /** This and the next two are `ip:port`. */
  readonly callersAddress: string
  readonly readinessAddress: string
  readonly peersAddress: string
  /** UDP port for messages between hosts, the same on every host. */
  readonly datagramPort: number
  /** Peer addresses of a few hosts; they may be stale. */
  readonly seedAddresses: readonly string[]
  readonly storeAddress: string
  readonly memoryMb: number
  readonly maxDescriptors: number
  /** Interval at which an endpoint updates its row in the store. */
  readonly heartbeatMs: number
  /** Time after which a leaving endpoint must receive no new requests. */
  readonly drainMs: number
  /** Time from SIGTERM to SIGKILL. */
  readonly shutdownMs: number
  /** Time within which a configuration change must be in force on every host. */
  readonly configurationMs: number
  /** All hosts together may send this many retries per request in a window of `retryWindowMs`, plus `retryExtra`. */
  readonly retryShare: number
  readonly retryExtra: number
  readonly retryWindowMs: number
  /** Two hosts must not alternate in sending orders to an endpoint within this time. */
  readonly leaseMs: number
  /** Time after which new requests must start on a newly declared adapter version. */
  readonly versionMs: number
}
