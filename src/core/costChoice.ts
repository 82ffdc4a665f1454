/** Chooses an endpoint by the expected wait, the load that the adapter needs and the stalls that the load causes others. */
import { formatAdapter } from './formatAdapter.js'
import type { ChooseEndpoint, ChoiceRequest, EndpointView } from './endpointChoice.js'
import { computeHash } from './rendezvousHash.js'
import type { Candidate, DecisionDraft } from '../schemas/decision.js'

export interface CostChoiceOptions {
  /** Whether a load beside a busy replica is weighed; without it an adapter stays where it is loaded. */
  mayReplicate: boolean
  /** Cost of another replica beside one that is loaded, as it takes a slot from others, in milliseconds. */
  replicaMs: number
  /** How full batches are to be, 0 to 1: endpoints that the running requests don't fill so far stand by; 0 uses all alike. */
  batchFillTarget: number
  /** Where loads take longer than this on average, in milliseconds, no endpoint stands by, as its slots are needed. */
  maxStandbyLoadMs: number
  /** Cost of an endpoint that stands by, in milliseconds. */
  standbyMs: number
  /** Cost of a batch place left empty, where batches are to be filled one after the other, in milliseconds. */
  emptyPlaceMs: number
  /** Cost of a batch place in use, where batches need not be full, in milliseconds: it spreads slots and places evenly. */
  usedPlaceMs: number
  /**
   * Cost of a load by whether rendezvous hashing prefers the endpoint, in milliseconds. Gateways that hash alike agree on
   * where an adapter is loaded without messages.
   */
  computeStrayMs: (isPreferred: boolean) => number
  /** Cost of a load for work that may wait, as a part of the time left; such work gathers where its adapter is. */
  deferrableLoadPart: number
}

/** Cost of a load outside the preferred endpoint. */
const strayLoadMs = 400

export const defaultCostChoiceOptions: CostChoiceOptions = Object.freeze({
  mayReplicate: true,
  replicaMs: 1000,
  batchFillTarget: 0,
  maxStandbyLoadMs: 1000,
  standbyMs: 1500,
  emptyPlaceMs: 10,
  usedPlaceMs: 20,
  computeStrayMs: (isPreferred: boolean) => isPreferred ? 0 : strayLoadMs,
  deferrableLoadPart: 0.35
})

const maxConsidered = 4

interface Rating {
  view: EndpointView
  candidate: Candidate
}

/** Creates a choice of an endpoint by cost. */
export function createCostChoice (options: Partial<CostChoiceOptions> = {}): ChooseEndpoint {
  const resolved = { ...defaultCostChoiceOptions, ...options }
  return (request, views) => chooseEndpoint(request, views, resolved)
}

/** The choice with its default options. */
export const chooseByCost: ChooseEndpoint = createCostChoice()

function chooseEndpoint (
  request: ChoiceRequest, views: EndpointView[], options: CostChoiceOptions
): ReturnType<ChooseEndpoint> {
  const name = formatAdapter(request.adapter, request.version)
  const usable = views.filter(view => isUsable(view, request))
  const standby = findStandby(usable, options)
  const preferred = findPreferred(name, usable, standby)
  const hasReplica = usable.some(({ summary }) => summary.loaded.includes(name) || summary.loading.includes(name))
  const ratings: Rating[] = usable.map(view => ({
    view, candidate: rateEndpoint(request, view, name, view === preferred, hasReplica, options)
  }))
  for (const { view, candidate } of ratings) if (standby.has(view)) candidate.costMs += request.isDeferrable ? request.dueInMs / 2 : options.standbyMs
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

/** Finds the endpoints that the running requests would leave empty, were batches filled one endpoint after the other. */
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

/** Finds the endpoint on which an adapter is loaded by preference, by rendezvous hashing among those that don't stand by. */
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
  const placesMs = computePlacesMs(view, waitMs, options)
  if (summary.loaded.includes(name)) {
    return { name: summary.endpointId, costMs: waitMs + placesMs, note: 'the adapter is loaded' }
  }
  if (summary.loading.includes(name) || view.loadsSentSince.includes(name)) {
    return { name: summary.endpointId, costMs: Math.max(waitMs, summary.expectedLoadMs / 2) + placesMs, note: 'the adapter is being loaded' }
  }
  if (hasReplica && !options.mayReplicate) return { name: summary.endpointId, costMs: Infinity, note: 'the adapter is loaded elsewhere' }
  const loadMs = request.isDeferrable ? options.deferrableLoadPart * request.dueInMs : summary.expectedLoadMs * (1 + view.loadsSentSince.length / 2)
  const strayMs = options.computeStrayMs(isPreferred)
  const evictionMs = request.isDeferrable ? 0 : summary.evictionCostMs
  const replicaMs = hasReplica && !request.isDeferrable ? options.replicaMs : 0
  const costMs = Math.max(waitMs, loadMs) + strayMs + evictionMs + replicaMs + placesMs
  return { name: summary.endpointId, costMs, note: hasReplica ? 'another replica is worth its load' : 'the adapter needs a load' }
}

/** Cost of how full the batch is; where requests wait, it counts as full. */
function computePlacesMs ({ summary, sentSince }: EndpointView, waitMs: number, options: CostChoiceOptions): number {
  const used = waitMs > 0 ? summary.batchLimit : Math.min(summary.batchLimit, summary.running + sentSince)
  return options.batchFillTarget > 0 ? (summary.batchLimit - used) * options.emptyPlaceMs : used * options.usedPlaceMs
}

/** Expected wait for a place in the batch, with what this gateway has sent since the summary. */
function computeWaitMs (request: ChoiceRequest, view: EndpointView): number {
  const { summary, sentSince } = view
  const ahead = request.isDeferrable ? summary.running + summary.queued + sentSince : 0
  const overfull = Math.max(0, ahead - summary.batchLimit) * summary.serviceIntervalMs
  const sentMs = Math.max(0, summary.running + sentSince + 1 - summary.batchLimit) * summary.serviceIntervalMs
  return Math.max(overfull, summary.expectedWaitMs > 0 ? summary.expectedWaitMs + sentSince * summary.serviceIntervalMs : sentMs)
}
