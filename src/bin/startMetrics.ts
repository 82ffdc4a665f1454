/** Wires a process's metrics to the settings. */
import { createStatsdMetrics } from '../adapters/statsd/statsdMetrics.js'
import type { StatsdOptions } from '../adapters/statsd/statsdMetrics.js'
import { MetricsTask } from '../tasks/metrics/metricsTask.js'
import type { MetricsTaskOptions } from '../tasks/metrics/metricsTask.js'

export interface MetricsWiring extends Omit<MetricsTaskOptions, 'output'> {
  settings: { host: { id: string, zone: string }, metrics: { statsd?: string } }
  role: StatsdOptions['role']
}

/** Creates the metrics of a process; the caller starts them. */
export function createMetrics (wiring: MetricsWiring): MetricsTask {
  const { settings: { host, metrics }, role, ...options } = wiring
  const output = metrics.statsd === undefined
    ? undefined
    : createStatsdMetrics({ address: metrics.statsd, host: host.id, zone: host.zone, role })
  return new MetricsTask({ ...options, output })
}
