/** HTTP client that sends orders to an engine and reads its state reports. */
import { Client } from 'undici'
import VError from 'verror'
import type { EngineOrder, EngineOrders, EngineState, OrderHolder, EngineOrderOutcome } from '../ports/engineOrders.js'
import { decodeEngineReport } from './decodeEndpoint.js'
import { wireHeaders, wirePaths } from './wireNames.js'

const reportTimeoutMs = 500
const connectTimeoutMs = 400
/** A larger response is an error. A report of twenty loaded adapters and as many that are loading takes 4 KiB. */
const maxResponseBytes = 256 * 1024
/** Error codes after which the engine cannot have received the order. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Connects to the engine `endpointId` at `ip:port`. Each call names the endpoint; another one at the address refuses the order.
 *
 * @example
 * const orders = createEngineOrders('i-7f3a', '10.128.0.9:8080')
 * await orders.send({ kind: 'load', model: 'base', adapter: 'a3', version: 2, expectedCount: 7 }, { host: 'front-1', fencing: 41 })
 */
export function createEngineOrders (endpointId: string, address: string): EngineOrders {
  const client = new Client(`http://${address}`, {
    pipelining: 1, connect: { timeout: connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: maxResponseBytes
  })
  return {
    send: async (order, holder, timeoutMs) => await sendOrder(client, endpointId, order, holder, timeoutMs),
    readState: async () => await readState(client, endpointId),
    close: () => { client.destroy() }
  }
}

async function sendOrder (client: Client, endpointId: string, order: EngineOrder, holder: OrderHolder, timeoutMs: number): Promise<EngineOrderOutcome> {
  try {
    const response = await client.request({
      method: 'POST',
      path: wirePaths.order,
      headers: { 'content-type': 'application/json', [wireHeaders.expectEndpoint]: endpointId },
      body: JSON.stringify(encodeOrder(order, holder)),
      signal: AbortSignal.timeout(timeoutMs)
    })
    const reason = (await response.body.text()).slice(0, 200)
    return decodeOrderOutcome(response.statusCode, reason)
  } catch (error) {
    const { code = '', message } = error as NodeJS.ErrnoException
    if (notSentErrorCodes.has(code)) return { verdict: 'refused', cause: 'unavailable', reason: message }
    return { verdict: 'unknown', reason: message }
  }
}

function encodeOrder (order: EngineOrder, holder: OrderHolder): unknown {
  return {
    operation: order.kind,
    model: order.model,
    adapter: order.adapter,
    version: order.version,
    // The engine accepts the order only if it has accepted exactly this many before; undefined sets no condition.
    precondition: order.expectedCount,
    holder: holder.host,
    fencingToken: holder.fencing
  }
}

function decodeOrderOutcome (status: number, reason: string): EngineOrderOutcome {
  if (status === 202) return { verdict: 'accepted' }
  if (status === 200) return { verdict: 'holds' }
  if (status === 409) return { verdict: 'refused', cause: 'conflict', reason }
  if (status === 412) return { verdict: 'refused', cause: 'fenced', reason }
  if (status === 421) return { verdict: 'refused', cause: 'otherEndpoint', reason }
  if (status === 400) return { verdict: 'refused', cause: 'invalid', reason }
  if (status === 503 || status === 429) return { verdict: 'refused', cause: 'unavailable', reason }
  return { verdict: 'unknown', reason: `the engine answered with status ${status}` }
}

async function readState (client: Client, endpointId: string): Promise<EngineState> {
  const response = await client.request({
    method: 'GET', path: wirePaths.report, headers: { [wireHeaders.expectEndpoint]: endpointId }, signal: AbortSignal.timeout(reportTimeoutMs)
  })
  const body = new Uint8Array(await response.body.arrayBuffer())
  const state = response.statusCode === 200 ? decodeEngineReport(body) : undefined
  if (!state) throw new VError('engine "%s" answered with status %d and without a readable report', endpointId, response.statusCode)
  return state
}
