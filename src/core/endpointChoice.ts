/** The interface between the gateway and the policy that chooses an endpoint for a request. */
import type { DecisionDraft } from '../schemas/decision.js'
import type { EndpointSummary } from '../schemas/peerMessage.js'

export interface ChoiceRequest {
  requestId: string
  attempt: number
  adapter: string
  version: string
  baseModel: string
  className: string
  /** Time left until the target, in milliseconds. */
  dueInMs: number
  /** Whether the request is deferrable, that is, its class can wait longer than a load takes. */
  isDeferrable: boolean
  promptTokens: number
  /** Endpoints that earlier attempts of the request ran on; they are not chosen again. */
  avoidEndpoints: string[]
  /** The gateway's own availability zone. */
  zone: string
}

/** An endpoint's summary, and the attempts that this gateway has sent since the summary was created. */
export interface EndpointView {
  summary: EndpointSummary
  hostId: string
  /** Number of attempts that this gateway has sent since the summary was created. */
  sentSince: number
  /** Adapters of those attempts that need a load. */
  loadsSentSince: string[]
}

export type EndpointChoice =
  | { isChosen: true, endpointId: string, hostId: string, decision: DecisionDraft }
  | { isChosen: false, decision: DecisionDraft }

export type ChooseEndpoint = (request: ChoiceRequest, views: EndpointView[], random: () => number) => EndpointChoice
