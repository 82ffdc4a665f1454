/** Computes and applies the changes of a scheduler's endpoints since its last update to the gateways. */
import type { EndpointChange, EndpointChanges, EndpointSummary } from '../schemas/peerMessage.js'

/** A time is sent again only if it differs by more than this, and by more than the ratio below. */
const minTimeDifferenceMs = 20
const minTimeDifferenceRatio = 0.2

const timeFields = ['expectedWaitMs', 'expectedLoadMs', 'serviceIntervalMs', 'evictionCostMs'] as const
const listFields = ['loaded', 'loading'] as const
const otherFields = ['zone', 'baseModel', 'fencing', 'isReady', 'slots', 'batchLimit', 'running', 'queued'] as const

/**
 * Computes the changes that turn the endpoint summaries known to the gateways into the current ones.
 *
 * @example
 * computeEndpointChanges([], [summary]) // { changes: [summary] }
 */
export function computeEndpointChanges (known: EndpointSummary[], current: EndpointSummary[]): Pick<EndpointChanges, 'changes' | 'removed'> {
  const knownById = new Map(known.map(summary => [summary.endpointId, summary]))
  const currentIds = new Set(current.map(summary => summary.endpointId))
  const changes = current.flatMap(summary => computeChange(knownById.get(summary.endpointId), summary) ?? [])
  const removed = known.map(summary => summary.endpointId).filter(endpointId => !currentIds.has(endpointId))
  return removed.length > 0 ? { changes, removed } : { changes }
}

/** Applies changes to the known endpoint summaries; the change of an unknown endpoint is its full summary. */
export function applyEndpointChanges (known: EndpointSummary[], { changes, removed = [] }: Pick<EndpointChanges, 'changes' | 'removed'>): EndpointSummary[] {
  const summaries = new Map(known.filter(({ endpointId }) => !removed.includes(endpointId)).map(summary => [summary.endpointId, summary]))
  for (const change of changes) {
    summaries.set(change.endpointId, { ...summaries.get(change.endpointId), ...change } as EndpointSummary)
  }
  return [...summaries.values()]
}

function computeChange (known: EndpointSummary | undefined, current: EndpointSummary): EndpointChange | undefined {
  if (!known) return current
  const changedFields = [
    ...timeFields.filter(field => isSignificantChange(known[field], current[field])),
    ...listFields.filter(field => known[field].join() !== current[field].join()),
    ...otherFields.filter(field => known[field] !== current[field])
  ]
  if (changedFields.length === 0) return undefined
  return { endpointId: current.endpointId, ...Object.fromEntries(changedFields.map(field => [field, current[field]])) }
}

function isSignificantChange (knownMs: number, currentMs: number): boolean {
  return Math.abs(currentMs - knownMs) > Math.max(minTimeDifferenceMs, knownMs * minTimeDifferenceRatio)
}
