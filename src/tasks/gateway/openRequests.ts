/** Limits the requests that callers have open on one gateway at once. Those over a limit are refused before their body is read. */
import type { IncomingHttpHeaders } from 'node:http'
import { maxRequestBodyBytes } from '../../constants.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface OpenRequestLimits {
  maxRequests: number
  /** Total size of the bodies of all open requests, as declared in their headers. */
  maxBodyBytes: number
}

export const defaultOpenRequestLimits: OpenRequestLimits = Object.freeze({
  maxRequests: 10_000,
  maxBodyBytes: 256 * 1024 * 1024
})

const gatewayFullRetryAfterMs = 1000

export class OpenRequests {
  #limits: OpenRequestLimits
  #openRequestCount = 0
  #openBodyBytes = 0

  constructor (limits: OpenRequestLimits) {
    this.#limits = limits
  }

  /** Counts a request as open until the returned function is called. Returns a failure instead if a limit would be exceeded. */
  admit (headers: IncomingHttpHeaders): RequestFailure | (() => void) {
    const bytes = getDeclaredBodyBytes(headers)
    const { maxRequests, maxBodyBytes } = this.#limits
    if (this.#openRequestCount >= maxRequests) return createGatewayFullFailure(`this host already has ${maxRequests} open requests`)
    if (this.#openBodyBytes + bytes > maxBodyBytes) return createGatewayFullFailure(`the bodies of all open requests would exceed ${maxBodyBytes} bytes`)
    this.#addToTotals(1, bytes)
    return () => this.#addToTotals(-1, -bytes)
  }

  #addToTotals (requests: number, bytes: number): void {
    this.#openRequestCount += requests
    this.#openBodyBytes += bytes
  }
}

/** A body without a declared length counts as one of the largest allowed size; so does a larger one, which is refused unread. */
function getDeclaredBodyBytes (headers: IncomingHttpHeaders): number {
  if (headers['transfer-encoding'] !== undefined) return maxRequestBodyBytes
  return Math.min(Number(headers['content-length'] ?? 0), maxRequestBodyBytes)
}

function createGatewayFullFailure (message: string): RequestFailure {
  return createNotRunFailure('gateway_full', message, 503, gatewayFullRetryAfterMs)
}
