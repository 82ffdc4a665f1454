/** What callers are told of requests that are not served. */
import type { CallerRequest } from '../../schemas/callerRequest.js'
import { createVerdictHeaders } from '../forwarding/forwardingHeaders.js'
import type { ProxyContext } from './proxyContext.js'

/** Sent to callers if no better estimate is known. */
export const defaultRetryAfterMs = 200
/** When callers may come back whose service no host reaches. */
export const unreachableRetryMs = 500
export const unreachableCode = 'unreachable'
/** When callers may come back whose request this host cannot complete before it stops; other hosts can. */
export const stoppingRetryMs = 100
export const stoppingCode = 'stopping'
/** The request has no key of a client account; HTTP requires to name the scheme by which keys are sent. */
export const unauthorizedStatus = 401
export const unknownKeyCode = 'key_unknown'
const challengeHeaders = Object.freeze(['WWW-Authenticate', 'Bearer'])
export const internalErrorReason = 'this host failed while it handled the request'
/** What other hosts may serve that have sent the request here. */
const elsewhereCodes: ReadonlySet<string> = new Set([unreachableCode, stoppingCode, 'no_configuration'])

export interface Refusal {
  status: number
  code: string
  reason: string
  retryAfterMs: number | undefined
}

/** Creates the head and body of a refusal; `headers` are names and values in turn. Other hosts are told what they may do with theirs. */
export function createRefusal ({ encodeRefusalHeaders }: Pick<ProxyContext, 'encodeRefusalHeaders'>, request: CallerRequest, { status, code, reason, retryAfterMs }: Refusal): { headers: string[], body: Buffer } {
  const body = Buffer.from(JSON.stringify({ error: code, message: reason }))
  const verdictHeaders = request.forwarded ? createVerdictHeaders(status, elsewhereCodes.has(code)) : []
  return {
    headers: [...encodeRefusalHeaders(request.requestId, retryAfterMs), ...verdictHeaders, ...(status === unauthorizedStatus ? challengeHeaders : []), 'Content-Type', 'application/json', 'Content-Length', String(body.length)],
    body
  }
}
