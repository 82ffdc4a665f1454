/** Output for this process's metrics. */

export type MetricTags = Record<string, string>

export interface MetricsOutput {
  /** Adds to a counter. */
  sendCount: (name: string, value: number, tags: MetricTags) => void
  /** Sets a gauge to its current value. */
  sendGauge: (name: string, value: number, tags: MetricTags) => void
  /** Sends buffered metrics, then closes the output; never rejects. */
  close: () => Promise<void>
}
