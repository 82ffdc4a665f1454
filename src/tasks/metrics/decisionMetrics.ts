/** Derives metrics from the same decisions that log, live feed and stories show. */
import type { Decision, Wait, WaitCause } from '../../schemas/decision.js'
import type { MetricSeries } from './metricSeries.js'

/** Time for which a request waits for its adapter to be loaded. */
const stallCauses: WaitCause[] = ['slot', 'budget', 'load']

/**
 * Adds one decision to the series.
 *
 * @example
 * store.addWatcher(decision => recordDecisionMetrics(series, decision))
 */
export function recordDecisionMetrics (series: MetricSeries, decision: Decision): void {
  const tags = { class: decision.className ?? 'none' }
  switch (decision.kind) {
    case 'admit':
      if (decision.attempt === undefined) series.count('requests.admitted', 1, tags)
      break
    case 'refuse':
      series.count('requests.refused', 1, tags)
      break
    case 'finish':
      series.count('requests.answered', 1, tags)
      break
    case 'fail':
      recordFailure(series, decision)
      break
    case 'resume':
      series.count('resumes', 1, tags)
      break
    case 'retry':
      series.count('retries', 1, { ...tags, verdict: decision.verdict ?? 'none' })
      break
    case 'dispatch':
      series.count('dispatches', 1, tags)
      recordWaits(series, decision.waits, tags)
      break
    case 'load':
    case 'unload':
      series.count(`${decision.kind}s`, 1, { endpoint: decision.endpointId ?? 'none' })
      break
    case 'ownership':
    case 'configuration':
    case 'membership':
      series.count(`${decision.kind}.changes`, 1, {})
      break
    case 'job':
      series.count('jobs', 1, { ...tags, step: decision.chosen })
      break
    case 'suspect':
      series.count('suspects', 1, {})
      break
    case 'chooseEndpoint':
  }
}

/** A failure without a request is that of a load. */
function recordFailure (series: MetricSeries, decision: Decision): void {
  if (decision.requestId === undefined) series.count('loads.failed', 1, { endpoint: decision.endpointId ?? 'none' })
  else series.count('requests.failed', 1, { class: decision.className ?? 'none', verdict: decision.verdict ?? 'none' })
}

function recordWaits (series: MetricSeries, waits: Wait[], tags: { class: string }): void {
  for (const { cause, ms } of waits) series.measure('waits', ms, { ...tags, cause })
  const stalls = waits.filter(({ cause }) => stallCauses.includes(cause))
  series.measure('stalls', stalls.reduce((sum, { ms }) => sum + ms, 0), tags)
}
