/** Derives metrics from the same decisions that the log, the live feed and the request timelines show. */
import type { Decision, Wait, WaitCause } from '../../schemas/decision.js'
import type { MetricAggregator } from './metricAggregator.js'

/** Waits with these causes are stalls: the request waits for its adapter to be loaded. */
const stallCauses: WaitCause[] = ['slot', 'budget', 'load']

/**
 * Updates the metrics for one decision.
 *
 * @example
 * store.addWatcher(decision => recordDecisionMetrics(aggregator, decision))
 */
export function recordDecisionMetrics (aggregator: MetricAggregator, decision: Decision): void {
  const tags = { class: decision.className ?? 'none' }
  switch (decision.kind) {
    case 'admit':
      if (decision.attempt === undefined) aggregator.count('requests.admitted', 1, tags)
      break
    case 'refuse':
      aggregator.count('requests.refused', 1, tags)
      break
    case 'finish':
      aggregator.count('requests.answered', 1, tags)
      break
    case 'fail':
      recordFailure(aggregator, decision)
      break
    case 'resume':
      aggregator.count('resumes', 1, tags)
      break
    case 'retry':
      aggregator.count('retries', 1, { ...tags, verdict: decision.verdict ?? 'none' })
      break
    case 'dispatch':
      aggregator.count('dispatches', 1, tags)
      recordWaits(aggregator, decision.waits, tags)
      break
    case 'load':
    case 'unload':
      aggregator.count(`${decision.kind}s`, 1, { endpoint: decision.endpointId ?? 'none' })
      break
    case 'ownership':
    case 'configuration':
    case 'membership':
      aggregator.count(`${decision.kind}.changes`, 1, {})
      break
    case 'job':
      aggregator.count('jobs', 1, { ...tags, step: decision.chosen })
      break
    case 'suspect':
      aggregator.count('suspects', 1, {})
      break
    case 'chooseEndpoint':
  }
}

/** A failure without a request ID is a failed load. */
function recordFailure (aggregator: MetricAggregator, decision: Decision): void {
  if (decision.requestId === undefined) aggregator.count('loads.failed', 1, { endpoint: decision.endpointId ?? 'none' })
  else aggregator.count('requests.failed', 1, { class: decision.className ?? 'none', verdict: decision.verdict ?? 'none' })
}

function recordWaits (aggregator: MetricAggregator, waits: Wait[], tags: { class: string }): void {
  for (const { cause, ms } of waits) aggregator.recordDuration('waits', ms, { ...tags, cause })
  const stalls = waits.filter(({ cause }) => stallCauses.includes(cause))
  aggregator.recordDuration('stalls', stalls.reduce((sum, { ms }) => sum + ms, 0), tags)
}
