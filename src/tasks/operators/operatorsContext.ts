/** What the routes of the operators' port share. */
import type { FastifyReply } from 'fastify'
import type { Clock } from '../../ports/clock.js'
import type { ConfigurationView } from '../../schemas/configuration.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { renderErrorBody, renderErrorHeaders } from '../gateway/callerError.js'
import type { ConfigurationOperations } from '../configuration/configurationChange.js'
import type { JobStore } from '../jobs/jobStore.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import type { GatewayQueries } from './gatewayQueries.js'
import type { LiveFeed } from './liveFeed.js'
import type { Operator } from './operatorAccess.js'
import type { PeerQueries } from './peerQueries.js'

export interface OperatorsContext {
  hostId: string
  zone: string
  clock: Clock
  configuration: ConfigurationView
  /** SHA-256, in hex, of the operator's key of the settings. */
  settingsKeyHash: string | undefined
  /** Reads and changes registrations. */
  operations: ConfigurationOperations
  jobs: Pick<JobStore, 'listPage' | 'readJob' | 'cancelJob'>
  decisions: DecisionStore
  peers: PeerQueries
  gateways: GatewayQueries
  feed: LiveFeed
  /** Whole state of this process, without secrets. */
  describeProcess: () => unknown
  countBadInput: (code: string) => void
}

declare module 'fastify' {
  interface FastifyRequest {
    /** Set before the body is read. */
    operator: Operator | undefined
  }
}

/** Sends a failure and counts it as bad input under its code. */
export function sendOperatorFailure (context: OperatorsContext, reply: FastifyReply, failure: RequestFailure): FastifyReply {
  context.countBadInput(failure.code)
  return reply.code(failure.status).headers(renderErrorHeaders(failure)).type('application/json').send(renderErrorBody(failure))
}
