/** Sends metrics to a StatsD server over UDP. */
import { StatsD } from 'hot-shots'
import { createLog } from '../../createLog.js'
import type { MetricsOutput } from '../../ports/metrics.js'

const log = createLog('metrics')
/** Fits into one UDP packet on most networks. */
const maxPacketBytes = 1400
const flushIntervalMs = 1000

export interface StatsdOptions {
  /** `ip:port` of the server. */
  address: string
  host: string
  zone: string
  role: 'gateway' | 'scheduler'
}

/**
 * Creates an output whose metrics carry host, zone and role as tags. If the server cannot be reached, this is only logged.
 *
 * @example
 * const output = createStatsdMetrics({ address: '10.0.0.9:8125', host: 'gateway-1', zone: 'az-1', role: 'gateway' })
 */
export function createStatsdMetrics (options: StatsdOptions): MetricsOutput {
  const { address, host, zone, role } = options
  const portSeparator = address.lastIndexOf(':')
  const client = new StatsD({
    host: address.slice(0, portSeparator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(portSeparator + 1)),
    prefix: 'sedgevalve.',
    globalTags: { host, zone, role },
    maxBufferSize: maxPacketBytes,
    bufferFlushInterval: flushIntervalMs,
    errorHandler: error => log('Could not send metrics to %s: %s.', address, error.message)
  })
  return {
    sendCount: (name, value, tags) => client.increment(name, value, tags),
    sendGauge: (name, value, tags) => client.gauge(name, value, tags),
    close: async () => await new Promise<void>(resolve => client.close(() => resolve()))
  }
}
