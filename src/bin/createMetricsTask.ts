/** Creates the metrics task of a process from its settings. */
import { createStatsdMetrics } from '../adapters/statsd/statsdMetrics.js'
import type { StatsdOptions } from '../adapters/statsd/statsdMetrics.js'
import { MetricsTask } from '../tasks/metrics/metricsTask.js'
import type { MetricsTaskOptions } from '../tasks/metrics/metricsTask.js'

export interface ProcessMetricsOptions extends Omit<MetricsTaskOptions, 'output'> {
  settings: { host: { id: string, zone: string }, metrics: { statsd?: string } }
  role: StatsdOptions['role']
}

/** Creates the metrics task; the caller starts it. Metrics are sent only if the settings have a StatsD address. */
export function createMetricsTask (processOptions: ProcessMetricsOptions): MetricsTask {
  const { settings: { host, metrics }, role, ...options } = processOptions
  const output = metrics.statsd === undefined
    ? undefined
    : createStatsdMetrics({ address: metrics.statsd, host: host.id, zone: host.zone, role })
  return new MetricsTask({ ...options, output })
}
