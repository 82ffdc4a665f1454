/** What callers have open on one gateway at once, so that more is refused before its body is read. */
import type { IncomingHttpHeaders } from 'node:http'
import { maxRequestBodyBytes } from '../../constants.js'
import { createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface OpenRequestLimits {
  maxRequests: number
  /** Bodies of all open requests together, as their headers announce them. */
  maxBodyBytes: number
}

export const defaultOpenRequestLimits: OpenRequestLimits = Object.freeze({
  maxRequests: 10_000,
  maxBodyBytes: 256 * 1024 * 1024
})

const retryAfterFullMs = 1000

export class OpenRequests {
  #limits: OpenRequestLimits
  #requests = 0
  #bodyBytes = 0

  constructor (limits: OpenRequestLimits) {
    this.#limits = limits
  }

  /** Counts a request, until the function is called that it returns; returns the refusal where there is no room. */
  admit (headers: IncomingHttpHeaders): RequestFailure | (() => void) {
    const bytes = measureBody(headers)
    const { maxRequests, maxBodyBytes } = this.#limits
    if (this.#requests >= maxRequests) return createFull(`this host has ${maxRequests} requests open already`)
    if (this.#bodyBytes + bytes > maxBodyBytes) return createFull(`the bodies of open requests fill the ${maxBodyBytes} bytes kept for them`)
    this.#count(1, bytes)
    return () => this.#count(-1, -bytes)
  }

  #count (requests: number, bytes: number): void {
    this.#requests += requests
    this.#bodyBytes += bytes
  }
}

/** A body that does not tell its length may be as long as the limit; a longer one is refused unread. */
function measureBody (headers: IncomingHttpHeaders): number {
  if (headers['transfer-encoding'] !== undefined) return maxRequestBodyBytes
  return Math.min(Number(headers['content-length'] ?? 0), maxRequestBodyBytes)
}

function createFull (message: string): RequestFailure {
  return createNotRun('gateway_full', message, 503, retryAfterFullMs)
}
