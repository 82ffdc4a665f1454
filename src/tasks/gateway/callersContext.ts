/** Context and helper functions that the routes of the callers' port share. */
import type { FastifyReply, FastifyRequest } from 'fastify'
import type { Clock } from '../../ports/clock.js'
import type { ConfigurationView, KeyRecord } from '../../schemas/configuration.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { hashParts } from '../idempotency/claimRow.js'
import type { KeyedRequest } from '../idempotency/claimRow.js'
import type { IdempotencyClaimTask } from '../idempotency/idempotencyClaimTask.js'
import type { JobStore } from '../jobs/jobStore.js'
import { renderErrorBody, renderErrorHeaders } from './callerError.js'
import type { OpenRequestLimits } from './openRequests.js'
import type { RequestRouter } from './requestRouter.js'
import type { HashText } from './resolveRequest.js'
import type { ServiceRouter } from './serviceRouter.js'

export interface CallersContext {
  openLimits?: OpenRequestLimits
  clock: Clock
  configuration: ConfigurationView
  router: RequestRouter
  services: ServiceRouter
  claims: IdempotencyClaimTask
  jobs: JobStore
  hashText: HashText
  receiveRefusal: ReceiveRefusal
  recordDecision: RecordDecision
}

/** A request that was refused before any attempt. */
export interface Refusal {
  requestId: string
  /** Undefined if the request has no known key. */
  callerName: string | undefined
  failure: RequestFailure
}
export type ReceiveRefusal = (refusal: Refusal) => void

declare module 'fastify' {
  interface FastifyInstance {
    receiveRefusal: ReceiveRefusal
  }
  interface FastifyRequest {
    /** Record of the caller's key, set before the body is read. */
    caller: KeyRecord | undefined
  }
}

/** Refuses a request before any attempt, and reports the refusal. */
export function sendFailure (reply: FastifyReply, failure: RequestFailure): FastifyReply {
  reply.server.receiveRefusal({ requestId: readRequestId(reply), callerName: reply.request.caller?.name, failure })
  return writeFailure(reply, failure)
}

/** Writes a failure in the format of all errors of this port. */
export function writeFailure (reply: FastifyReply, failure: RequestFailure): FastifyReply {
  return reply.code(failure.status).headers(renderErrorHeaders(failure)).type('application/json').send(renderErrorBody(failure))
}

/**
 * Gets the idempotency claim of a request from its `Idempotency-Key`; undefined if it has none.
 * `parts` identify the request's content: they are hashed, so that a key that is used again for another request is found.
 */
export function getKeyedRequest (request: FastifyRequest, reply: FastifyReply, parts: Array<string | Uint8Array>): KeyedRequest | undefined {
  const idempotencyKey = readHeader(request, 'idempotency-key')
  if (idempotencyKey === undefined) return undefined
  return { callerName: request.caller!.name, idempotencyKey, bodyHash: hashParts(parts), requestId: readRequestId(reply) }
}

/** Gets the id that the gateway gave the request on arrival. */
export function readRequestId (reply: FastifyReply): string {
  return String(reply.getHeader('sedgevalve-request-id'))
}

/** Gets the value of a header that is expected at most once. */
export function readHeader (request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}
