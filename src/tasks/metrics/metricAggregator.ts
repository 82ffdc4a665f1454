/**
 * Aggregates counts and durations in this process, so that the number of metric lines that it sends does not depend on the
 * number of requests.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { MetricsOutput, MetricTags } from '../../ports/metrics.js'

/** Limit for counters and for distributions each; values of further series are dropped. */
const maxSeries = 2000
const maxDurationMs = 24 * 3600 * 1000
const quantiles = [['p50', 50], ['p95', 95], ['p99', 99]] as const

interface Counter {
  name: string
  tags: MetricTags
  value: number
}
interface DurationDistribution {
  name: string
  tags: MetricTags
  totalMs: number
  histogram: Histogram
}

export class MetricAggregator {
  #counters = new Map<string, Counter>()
  #distributions = new Map<string, DurationDistribution>()

  /**
   * Adds to a counter.
   *
   * @example
   * aggregator.count('retries', 1, { class: 'counter' })
   */
  count (name: string, value: number, tags: MetricTags): void {
    const key = formatSeriesKey(name, tags)
    const existing = this.#counters.get(key)
    if (existing) existing.value += value
    else if (this.#counters.size < maxSeries) this.#counters.set(key, { name, tags, value })
  }

  /** Adds a duration in milliseconds to a distribution. */
  recordDuration (name: string, ms: number, tags: MetricTags): void {
    const key = formatSeriesKey(name, tags)
    let distribution = this.#distributions.get(key)
    if (!distribution) {
      if (this.#distributions.size >= maxSeries) return
      distribution = { name, tags, totalMs: 0, histogram: createHistogram() }
      this.#distributions.set(key, distribution)
    }
    distribution.totalMs += ms
    distribution.histogram.recordValue(Math.min(maxDurationMs, Math.max(0, Math.round(ms))))
  }

  /** Sends the values added since the last call and removes all series. */
  flush (output: MetricsOutput): void {
    for (const { name, tags, value } of this.#counters.values()) output.sendCount(name, value, tags)
    for (const distribution of this.#distributions.values()) sendDistribution(output, distribution)
    this.#counters.clear()
    this.#distributions.clear()
  }
}

function sendDistribution (output: MetricsOutput, { name, tags, totalMs, histogram }: DurationDistribution): void {
  output.sendCount(`${name}.count`, histogram.totalCount, tags)
  output.sendCount(`${name}.sum_ms`, Math.round(totalMs), tags)
  for (const [quantile, percentile] of quantiles) {
    output.sendGauge(`${name}.${quantile}_ms`, histogram.getValueAtPercentile(percentile), tags)
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxDurationMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32 })
}

function formatSeriesKey (name: string, tags: MetricTags): string {
  return `${name} ${Object.entries(tags).map(([tag, value]) => `${tag}=${value}`).join(' ')}`
}
