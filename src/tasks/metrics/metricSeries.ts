/** Adds up counts and times in this process, so that few lines leave it however many requests it serves. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { MetricsOutput, MetricTags } from '../../ports/metrics.js'

const maxSeries = 2000
const maxTimeMs = 24 * 3600 * 1000
const quantiles = [['p50', 50], ['p95', 95], ['p99', 99]] as const

interface Count {
  name: string
  tags: MetricTags
  value: number
}
interface Times {
  name: string
  tags: MetricTags
  totalMs: number
  histogram: Histogram
}

export class MetricSeries {
  #counts = new Map<string, Count>()
  #times = new Map<string, Times>()

  /**
   * Adds to a counter.
   *
   * @example
   * series.count('retries', 1, { class: 'counter' })
   */
  count (name: string, value: number, tags: MetricTags): void {
    const key = formatKey(name, tags)
    const known = this.#counts.get(key)
    if (known) known.value += value
    else if (this.#counts.size < maxSeries) this.#counts.set(key, { name, tags, value })
  }

  /** Adds a time in milliseconds to a distribution. */
  measure (name: string, ms: number, tags: MetricTags): void {
    const key = formatKey(name, tags)
    let times = this.#times.get(key)
    if (!times) {
      if (this.#times.size >= maxSeries) return
      times = { name, tags, totalMs: 0, histogram: createHistogram() }
      this.#times.set(key, times)
    }
    times.totalMs += ms
    times.histogram.recordValue(Math.min(maxTimeMs, Math.max(0, Math.round(ms))))
  }

  /** Sends what was added since the last call and begins anew; series without values are forgotten. */
  send (output: MetricsOutput): void {
    for (const { name, tags, value } of this.#counts.values()) output.sendCount(name, value, tags)
    for (const times of this.#times.values()) sendTimes(output, times)
    this.#counts.clear()
    this.#times.clear()
  }
}

function sendTimes (output: MetricsOutput, { name, tags, totalMs, histogram }: Times): void {
  output.sendCount(`${name}.count`, histogram.totalCount, tags)
  output.sendCount(`${name}.sum_ms`, Math.round(totalMs), tags)
  for (const [quantile, percentile] of quantiles) {
    output.sendGauge(`${name}.${quantile}_ms`, histogram.getValueAtPercentile(percentile), tags)
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxTimeMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32 })
}

function formatKey (name: string, tags: MetricTags): string {
  return `${name} ${Object.entries(tags).map(([tag, value]) => `${tag}=${value}`).join(' ')}`
}
