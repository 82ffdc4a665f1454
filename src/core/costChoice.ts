/** Chooses an endpoint by the expected wait, the load that the adapter needs and the stalls that the load causes others. */
import { formatAdapter } from './formatAdapter.js'
import type { ChooseEndpoint, ChoiceRequest, EndpointView } from './endpointChoice.js'
import { computeHash } from './rendezvousHash.js'
import type { Candidate, DecisionDraft } from '../schemas/decision.js'

export interface CostChoiceOptions {
  /** Whether a load beside a busy replica is weighed; without it an adapter stays where it is loaded. */
  mayReplicate: boolean
  /** Cost of a batch place left empty, which fills one endpoint's batch before the next one's, in milliseconds. */
  emptyPlaceMs: number
  /** Endpoints in which an adapter is loaded by preference, so that gateways agree without messages. */
  preferredEndpoints: number
  /** Cost of a load outside the preferred endpoints, in milliseconds. */
  strayLoadMs: number
  /** Cost of a load for work that may wait, as a part of the time left; such work gathers where its adapter is. */
  deferrableLoadPart: number
}

export const defaultCostChoiceOptions: CostChoiceOptions = Object.freeze({
  mayReplicate: true,
  emptyPlaceMs: 2,
  preferredEndpoints: 2,
  strayLoadMs: 400,
  deferrableLoadPart: 0.5
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
  const ranks = rankEndpoints(name, usable)
  const hasReplica = usable.some(({ summary }) => summary.loaded.includes(name) || summary.loading.includes(name))
  const ratings: Rating[] = usable.map((view, index) => ({
    view, candidate: rateEndpoint(request, view, name, ranks[index]!, hasReplica, options)
  }))
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

/** Ranks endpoints by rendezvous hashing, 0 first. */
function rankEndpoints (name: string, views: EndpointView[]): number[] {
  const weights = views.map(({ summary }) => computeHash(`${name} ${summary.endpointId}`))
  return weights.map(weight => weights.reduce((rank, other) => rank + Number(other > weight), 0))
}

function rateEndpoint (
  request: ChoiceRequest, view: EndpointView, name: string, rank: number, hasReplica: boolean, options: CostChoiceOptions
): Candidate {
  const { summary } = view
  const waitMs = computeWaitMs(request, view)
  const emptyPlaces = Math.max(0, summary.batchLimit - summary.running - view.sentSince)
  const fillMs = waitMs === 0 ? emptyPlaces * options.emptyPlaceMs : 0
  if (summary.loaded.includes(name)) {
    return { name: summary.endpointId, costMs: waitMs + fillMs, note: 'the adapter is loaded' }
  }
  if (summary.loading.includes(name) || view.loadsSentSince.includes(name)) {
    return { name: summary.endpointId, costMs: Math.max(waitMs, summary.expectedLoadMs / 2), note: 'the adapter is being loaded' }
  }
  if (hasReplica && !options.mayReplicate) return { name: summary.endpointId, costMs: Infinity, note: 'the adapter is loaded elsewhere' }
  const loadMs = request.isDeferrable ? options.deferrableLoadPart * request.dueInMs : summary.expectedLoadMs * (1 + view.loadsSentSince.length / 2)
  const strayMs = rank < options.preferredEndpoints ? rank : options.strayLoadMs + rank
  const evictionMs = request.isDeferrable ? 0 : summary.evictionCostMs
  const costMs = Math.max(waitMs, loadMs) + strayMs + evictionMs
  return { name: summary.endpointId, costMs, note: hasReplica ? 'another replica is worth its load' : 'the adapter needs a load' }
}

/** Expected wait for a place in the batch, with what this gateway has sent since the summary. */
function computeWaitMs (request: ChoiceRequest, view: EndpointView): number {
  const { summary, sentSince } = view
  const ahead = request.isDeferrable ? summary.running + summary.queued + sentSince : 0
  const overfull = Math.max(0, ahead - summary.batchLimit) * summary.serviceIntervalMs
  const sentMs = Math.max(0, summary.running + sentSince + 1 - summary.batchLimit) * summary.serviceIntervalMs
  return Math.max(overfull, summary.expectedWaitMs > 0 ? summary.expectedWaitMs + sentSince * summary.serviceIntervalMs : sentMs)
}
