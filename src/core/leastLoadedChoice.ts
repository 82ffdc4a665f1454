/** The baseline policy: prefers endpoints where the adapter is loaded, else the least loaded endpoint. */
import { formatAdapterVersion } from './handleFormat.js'
import type { ChooseEndpoint, ChoiceRequest, EndpointView } from './endpointChoice.js'
import type { Candidate } from '../schemas/decision.js'

/** Chooses by expected wait plus the expected load of the adapter. */
export const chooseLeastLoaded: ChooseEndpoint = (request, views, random) => {
  const name = formatAdapterVersion(request.adapter, request.version)
  const usable = views.filter(view => isUsable(view, request))
  const candidates = usable.map(view => ({ view, candidate: rateEndpoint(view, name, random) }))
  candidates.sort((left, right) => left.candidate.costMs - right.candidate.costMs)
  const best = candidates[0]
  const draft = {
    kind: 'chooseEndpoint' as const,
    requestId: request.requestId,
    attempt: request.attempt,
    className: request.className,
    adapter: request.adapter,
    version: request.version,
    considered: candidates.slice(0, 4).map(({ candidate }) => candidate),
    waits: []
  }
  if (!best) return { isChosen: false, decision: { ...draft, chosen: '', reason: `no endpoint serves base model "${request.baseModel}"` } }
  const endpointId = best.view.summary.endpointId
  const decision = { ...draft, endpointId, chosen: endpointId, reason: best.candidate.note }
  return { isChosen: true, endpointId, hostId: best.view.hostId, decision }
}

function isUsable (view: EndpointView, request: ChoiceRequest): boolean {
  const { summary } = view
  return summary.isReady && summary.baseModel === request.baseModel && !request.avoidEndpoints.includes(summary.endpointId)
}

function rateEndpoint (view: EndpointView, name: string, random: () => number): Candidate {
  const { summary } = view
  const isLoaded = summary.loaded.includes(name)
  const isLoading = summary.loading.includes(name) || view.loadsSentSince.includes(name)
  const loadMs = isLoaded ? 0 : summary.expectedLoadMs * (isLoading ? 0.5 : 1 + view.loadsSentSince.length)
  const occupancyMs = (summary.running + view.sentSince) * 10
  const note = isLoaded ? 'the adapter is loaded' : isLoading ? 'the adapter is being loaded' : 'the adapter needs a load'
  return { name: summary.endpointId, costMs: summary.expectedWaitMs + occupancyMs + loadMs + random(), note }
}
