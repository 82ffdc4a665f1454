/** Where the figures of this process go. */

export type MetricTags = Record<string, string>

export interface MetricsOutput {
  /** Adds to a counter. */
  sendCount: (name: string, value: number, tags: MetricTags) => void
  /** Sets a value as it is now. */
  sendGauge: (name: string, value: number, tags: MetricTags) => void
  /** Sends what is buffered; never rejects. */
  close: () => Promise<void>
}
