/** Settings of hosts before a stand-in fleet, each on a loopback address of its own. */
import type { HostSettings } from '../../schemas/hostSettings.js'

export interface HostPlace {
  /** From 1; hosts stand in two zones by turns. */
  index: number
  /** First three numbers of the hosts' addresses, such as `127.3.0`. */
  network: string
  /** First of five ports that are the same on all hosts. */
  basePort: number
  storeAddress: string
}

/**
 * Creates the settings of one host.
 *
 * @example
 * createHostSettings({ index: 2, network: '127.3.0', basePort: 20_000, storeAddress: '127.0.0.1:41873' }).callersAddress // '127.3.0.2:20000'
 */
export function createHostSettings ({ index, network, basePort, storeAddress }: HostPlace, changes: Partial<HostSettings> = {}): HostSettings {
  const address = `${network}.${index}`
  return Object.freeze({
    hostName: `host-${index}`,
    address,
    zone: index % 2 === 1 ? 'a' : 'b',
    callersAddress: `${address}:${basePort}`,
    readinessAddress: `${address}:${basePort + 1}`,
    peersAddress: `${address}:${basePort + 2}`,
    datagramPort: basePort + 3,
    seedAddresses: [],
    storeAddress,
    memoryMb: 350,
    maxDescriptors: 4000,
    heartbeatMs: 300,
    drainMs: 1000,
    shutdownMs: 3000,
    configurationMs: 2000,
    retryShare: 0.2,
    retryExtra: 60,
    retryWindowMs: 10_000,
    leaseMs: 3000,
    versionMs: 5000,
    ...changes
  })
}

/** Port of the metrics of a host whose other ports begin here. */
export function findMetricsPort (basePort: number): number {
  return basePort + 4
}
