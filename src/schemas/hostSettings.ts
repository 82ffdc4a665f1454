/** A host's own settings and the limits that it must keep; they never change while the process runs. */

/** Within `windowMs`, (rate x window + burst) x (1 + `overrunRatio`) + `tolerance` may be used, in the unit of the quota. */
export interface QuotaBounds {
  readonly windowMs: number
  readonly overrunRatio: number
  readonly tolerance: number
}

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
  /** Part of a processor that the host may use; undefined if the settings do not say. */
  readonly processorShare?: number | undefined
  /** What the use of quotas of client accounts, summed over all hosts, may exceed them by; undefined if the settings set no bounds. */
  readonly quotaBounds?: QuotaBounds | undefined
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
