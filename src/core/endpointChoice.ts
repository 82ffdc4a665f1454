/** What the gateway asks of the choice of an endpoint. */
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
  /** Whether the class can wait longer than a load takes. */
  isDeferrable: boolean
  promptTokens: number
  /** Endpoints that earlier attempts of the request ran on. */
  avoidEndpoints: string[]
  /** The gateway's own availability zone. */
  zone: string
}

/** An endpoint's summary, with what this gateway has sent since it was made. */
export interface EndpointView {
  summary: EndpointSummary
  hostId: string
  /** Attempts that this gateway sent after the summary was made. */
  sentSince: number
  /** Those among them that need a load of their own. */
  loadsSentSince: string[]
}

export type EndpointChoice =
  | { isChosen: true, endpointId: string, hostId: string, decision: DecisionDraft }
  | { isChosen: false, decision: DecisionDraft }

export type ChooseEndpoint = (request: ChoiceRequest, views: EndpointView[], random: () => number) => EndpointChoice
