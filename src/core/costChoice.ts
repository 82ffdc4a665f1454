/** Chooses an endpoint by cost: the expected wait, the adapter's load and the stalls that the load causes to other adapters. */
import { formatAdapterVersion } from './handleFormat.js'
import type { ChooseEndpoint, ChoiceRequest, EndpointView } from './endpointChoice.js'
import { computeHash } from './rendezvousHash.js'
import type { Candidate, DecisionDraft } from '../schemas/decision.js'

export interface CostChoiceOptions {
  /** Whether an adapter may be loaded on another endpoint while it is loaded on one; if not, it stays where it is loaded. */
  mayReplicate: boolean
  /** Cost of an additional replica, which occupies a slot that other adapters could use; in milliseconds. */
  replicaCostMs: number
  /**
   * Target utilization of batches, 0 to 1. Endpoints that the running requests don't need at this utilization are on
   * standby; 0 uses all endpoints equally.
   */
  batchFillTarget: number
  /** If loads take longer than this on average, in milliseconds, no endpoint is on standby, because its slots are needed. */
  maxStandbyLoadMs: number
  /** Cost of using a standby endpoint, in milliseconds. */
  standbyCostMs: number
  /** Cost of each free batch slot if `batchFillTarget` is set, so that batches are filled one by one; in milliseconds. */
  emptyBatchSlotCostMs: number
  /** Cost of each used batch slot if `batchFillTarget` is 0, so that adapters and requests are spread evenly; in milliseconds. */
  usedBatchSlotCostMs: number
  /**
   * Cost of a load by whether rendezvous hashing prefers the endpoint, in milliseconds. As all gateways compute the same
   * hashes, they agree without messages on where an adapter is loaded.
   */
  computePlacementCostMs: (isPreferred: boolean) => number
  /** Cost of a load for deferrable work, as a fraction of its time left; it directs such work to where its adapter is loaded. */
  deferrableLoadFraction: number
}

/** Cost of a load on an endpoint other than the preferred one, in milliseconds. */
const nonPreferredLoadCostMs = 400

export const defaultCostChoiceOptions: CostChoiceOptions = Object.freeze({
  mayReplicate: true,
  replicaCostMs: 1000,
  batchFillTarget: 0,
  maxStandbyLoadMs: 1000,
  standbyCostMs: 1500,
  emptyBatchSlotCostMs: 10,
  usedBatchSlotCostMs: 20,
  computePlacementCostMs: (isPreferred: boolean) => isPreferred ? 0 : nonPreferredLoadCostMs,
  deferrableLoadFraction: 0.35
})

const maxConsidered = 4

interface RatedEndpoint {
  view: EndpointView
  candidate: Candidate
}

/** Creates a function that chooses the endpoint with the lowest cost; options that are left out have their defaults. */
export function createCostChoice (options: Partial<CostChoiceOptions> = {}): ChooseEndpoint {
  const resolved = { ...defaultCostChoiceOptions, ...options }
  return (request, views) => chooseEndpoint(request, views, resolved)
}

/** Chooses the endpoint with the lowest cost, with default options. */
export const chooseByCost: ChooseEndpoint = createCostChoice()

function chooseEndpoint (
  request: ChoiceRequest, views: EndpointView[], options: CostChoiceOptions
): ReturnType<ChooseEndpoint> {
  const name = formatAdapterVersion(request.adapter, request.version)
  const usable = views.filter(view => isUsable(view, request))
  const standby = findStandby(usable, options)
  const preferred = findPreferred(name, usable, standby)
  const hasReplica = usable.some(({ summary }) => summary.loaded.includes(name) || summary.loading.includes(name))
  const ratings: RatedEndpoint[] = usable.map(view => ({
    view, candidate: rateEndpoint(request, view, name, view === preferred, hasReplica, options)
  }))
  for (const { view, candidate } of ratings) if (standby.has(view)) candidate.costMs += request.isDeferrable ? request.dueInMs / 2 : options.standbyCostMs
  ratings.sort((left, right) => left.candidate.costMs - right.candidate.costMs)
  const draft: DecisionDraft = {
    kind: 'chooseEndpoint',
    requestId: request.requestId,
    attempt: request.attempt,
    className: request.className,
    adapter: request.adapter,
    version: request.version,
    considered: ratings.slice(0, maxConsidered).map(({ candidate }) => candidate),
    chosen: '',
    reason: `no endpoint serves base model "${request.baseModel}"`,
    waits: []
  }
  const best = ratings[0]
  if (!best) return { isChosen: false, decision: draft }
  const { endpointId } = best.view.summary
  return { isChosen: true, endpointId, hostId: best.view.hostId, decision: { ...draft, endpointId, chosen: endpointId, reason: best.candidate.note } }
}

function isUsable (view: EndpointView, request: ChoiceRequest): boolean {
  const { summary } = view
  return summary.isReady && summary.baseModel === request.baseModel && !request.avoidEndpoints.includes(summary.endpointId)
}

/** Finds the endpoints that would run no request if batches were filled up to the target one endpoint after the other. */
function findStandby (views: EndpointView[], options: CostChoiceOptions): Set<EndpointView> {
  const { batchFillTarget, maxStandbyLoadMs } = options
  if (batchFillTarget === 0) return new Set()
  const loadMs = views.reduce((sum, { summary }) => sum + summary.expectedLoadMs, 0) / views.length
  if (loadMs > maxStandbyLoadMs) return new Set()
  const ordered = [...views].sort((left, right) => left.summary.endpointId < right.summary.endpointId ? -1 : 1)
  let running = views.reduce((sum, { summary, sentSince }) => sum + summary.running + sentSince, 0)
  return new Set(ordered.filter(({ summary }) => {
    const isNeeded = running >= 0
    running -= summary.batchLimit * batchFillTarget
    return !isNeeded
  }))
}

/** Finds the preferred endpoint of an adapter by rendezvous hashing among those that are not on standby. */
function findPreferred (name: string, views: EndpointView[], standby: Set<EndpointView>): EndpointView | undefined {
  let preferred: EndpointView | undefined
  let greatest = -1
  for (const view of views) {
    const weight = standby.has(view) ? -1 : computeHash(`${name} ${view.summary.endpointId}`)
    if (weight <= greatest) continue
    preferred = view
    greatest = weight
  }
  return preferred
}

function rateEndpoint (
  request: ChoiceRequest, view: EndpointView, name: string, isPreferred: boolean, hasReplica: boolean, options: CostChoiceOptions
): Candidate {
  const { summary } = view
  const waitMs = computeWaitMs(request, view)
  const occupancyCostMs = computeOccupancyCostMs(view, waitMs, options)
  if (summary.loaded.includes(name)) {
    return { name: summary.endpointId, costMs: waitMs + occupancyCostMs, note: 'the adapter is loaded' }
  }
  if (summary.loading.includes(name) || view.loadsSentSince.includes(name)) {
    return { name: summary.endpointId, costMs: Math.max(waitMs, summary.expectedLoadMs / 2) + occupancyCostMs, note: 'the adapter is being loaded' }
  }
  if (hasReplica && !options.mayReplicate) return { name: summary.endpointId, costMs: Infinity, note: 'the adapter is loaded elsewhere' }
  const loadMs = request.isDeferrable ? options.deferrableLoadFraction * request.dueInMs : summary.expectedLoadMs * (1 + view.loadsSentSince.length / 2)
  const placementCostMs = options.computePlacementCostMs(isPreferred)
  const evictionCostMs = request.isDeferrable ? 0 : summary.evictionCostMs
  const replicaCostMs = hasReplica && !request.isDeferrable ? options.replicaCostMs : 0
  const costMs = Math.max(waitMs, loadMs) + placementCostMs + evictionCostMs + replicaCostMs + occupancyCostMs
  return { name: summary.endpointId, costMs, note: hasReplica ? 'another replica is worth its load' : 'the adapter needs a load' }
}

/** Cost of the batch's occupancy; if requests wait, the batch counts as full. */
function computeOccupancyCostMs ({ summary, sentSince }: EndpointView, waitMs: number, options: CostChoiceOptions): number {
  const used = waitMs > 0 ? summary.batchLimit : Math.min(summary.batchLimit, summary.running + sentSince)
  return options.batchFillTarget > 0 ? (summary.batchLimit - used) * options.emptyBatchSlotCostMs : used * options.usedBatchSlotCostMs
}

/** Expected wait for a batch slot, including the attempts that this gateway has sent since the summary. */
function computeWaitMs (request: ChoiceRequest, view: EndpointView): number {
  const { summary, sentSince } = view
  const ahead = request.isDeferrable ? summary.running + summary.queued + sentSince : 0
  const deferrableWaitMs = Math.max(0, ahead - summary.batchLimit) * summary.serviceIntervalMs
  const sentMs = Math.max(0, summary.running + sentSince + 1 - summary.batchLimit) * summary.serviceIntervalMs
  return Math.max(deferrableWaitMs, summary.expectedWaitMs > 0 ? summary.expectedWaitMs + sentSince * summary.serviceIntervalMs : sentMs)
}
