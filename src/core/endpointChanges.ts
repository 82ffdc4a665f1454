/** What has changed in the endpoints of a scheduler since gateways were last told. */
import type { EndpointChange, EndpointChanges, EndpointSummary } from '../schemas/peerMessage.js'

/** Times that differ by less than this, or by less than the share, are not worth a message. */
const notableMs = 20
const notableShare = 0.2

const timeFields = ['expectedWaitMs', 'expectedLoadMs', 'serviceIntervalMs', 'evictionCostMs'] as const
const listFields = ['loaded', 'loading'] as const
const otherFields = ['zone', 'baseModel', 'fencing', 'isReady', 'slots', 'batchLimit', 'running', 'queued'] as const

/**
 * Lists the changes that turn the endpoints which gateways know into those that there are now.
 *
 * @example
 * createChanges([], [summary]) // { changes: [summary] }
 */
export function createChanges (known: EndpointSummary[], current: EndpointSummary[]): Pick<EndpointChanges, 'changes' | 'removed'> {
  const knownById = new Map(known.map(summary => [summary.endpointId, summary]))
  const currentIds = new Set(current.map(summary => summary.endpointId))
  const changes = current.flatMap(summary => createChange(knownById.get(summary.endpointId), summary) ?? [])
  const removed = known.map(summary => summary.endpointId).filter(endpointId => !currentIds.has(endpointId))
  return removed.length > 0 ? { changes, removed } : { changes }
}

/** Applies changes to the endpoints that are known; a change of an unknown endpoint is its whole summary. */
export function applyChanges (known: EndpointSummary[], { changes, removed = [] }: Pick<EndpointChanges, 'changes' | 'removed'>): EndpointSummary[] {
  const summaries = new Map(known.filter(({ endpointId }) => !removed.includes(endpointId)).map(summary => [summary.endpointId, summary]))
  for (const change of changes) {
    summaries.set(change.endpointId, { ...summaries.get(change.endpointId), ...change } as EndpointSummary)
  }
  return [...summaries.values()]
}

function createChange (known: EndpointSummary | undefined, current: EndpointSummary): EndpointChange | undefined {
  if (!known) return current
  const changed = [
    ...timeFields.filter(field => isNotable(known[field], current[field])),
    ...listFields.filter(field => known[field].join() !== current[field].join()),
    ...otherFields.filter(field => known[field] !== current[field])
  ]
  if (changed.length === 0) return undefined
  return { endpointId: current.endpointId, ...Object.fromEntries(changed.map(field => [field, current[field]])) }
}

function isNotable (knownMs: number, currentMs: number): boolean {
  return Math.abs(currentMs - knownMs) > Math.max(notableMs, knownMs * notableShare)
}
