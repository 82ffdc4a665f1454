/** Client of HTTP services that are not model engines. */
import type { Pool } from 'undici'
import { maxBufferedResponseBytes } from '../../constants.js'
import type { ServiceClient, ServiceCall, ServiceOutcome } from '../../ports/serviceClient.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { requireValidStatus } from '../endpointHttp/requireValidStatus.js'
import { createHttpPool } from '../httpClient/httpClients.js'

const responseTimeoutMs = 30_000
const maxConnectionsPerService = 128
/** Connect errors: the service has certainly not received the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Keeps a connection pool for each service endpoint. */
export class HttpServiceClient implements ServiceClient {
  #pools = new Map<string, Pool>()

  async call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceOutcome> {
    try {
      const response = await this.#getPool(address).request({
        method: call.method as 'GET',
        path: call.path,
        headers: { ...call.headers, 'x-request-id': `${call.requestId}/${call.attempt}` },
        body: call.body.length > 0 ? call.body : null,
        headersTimeout: responseTimeoutMs,
        bodyTimeout: responseTimeoutMs,
        signal
      })
      requireValidStatus(response)
      const body = new Uint8Array(await response.body.arrayBuffer())
      return { type: 'answered', status: response.statusCode, headers: flattenHeaders(response.headers), body }
    } catch (error) {
      return { type: 'failed', failure: createServiceFailure(address, error as NodeJS.ErrnoException) }
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async pool => await pool.destroy()))
    this.#pools.clear()
  }

  #getPool (address: string): Pool {
    let pool = this.#pools.get(address)
    if (!pool) {
      pool = createHttpPool(address, { connections: maxConnectionsPerService, pipelining: 1, maxResponseSize: maxBufferedResponseBytes })
      this.#pools.set(address, pool)
    }
    return pool
  }
}

function createServiceFailure (address: string, error: NodeJS.ErrnoException): RequestFailure {
  if (neverSentCodes.has(error.code ?? '')) {
    return createNotRunFailure('endpoint_unreachable', `no connection to ${address}: ${error.code}`, 503)
  }
  if (error.code === 'UND_ERR_RES_EXCEEDED_MAX_SIZE') {
    return { verdict: 'ran', code: 'answer_too_large', message: `the response from ${address} is longer than ${maxBufferedResponseBytes} bytes`, status: 502 }
  }
  return createMayHaveRunFailure('endpoint_lost', `the connection to ${address} was lost: ${error.message}`, 502)
}

function flattenHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const flattened: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flattened[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return flattened
}
