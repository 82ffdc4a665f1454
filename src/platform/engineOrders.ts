/** HTTP client that sends orders to an engine and reads its state reports. */
import type { Socket } from 'node:net'
import type { Client, Dispatcher } from 'undici'
import VError from 'verror'
import { createHttpClient } from '../adapters/httpClient/httpClients.js'
import { resetSocket } from '../adapters/tcp/resetSocket.js'
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
  const connection = new EngineConnection(address)
  return {
    send: async (order, holder, timeoutMs) => await sendOrder(connection, endpointId, order, holder, timeoutMs),
    readState: async () => await readState(connection, endpointId),
    close: () => connection.close()
  }
}

/** One connection, on which calls follow each other. */
class EngineConnection {
  #client: Client
  #socket: Socket | undefined
  /** Calls without a response yet, in the order in which they are written. */
  #unanswered = new Set<AbortController>()

  constructor (address: string) {
    this.#client = createHttpClient(address, {
      pipelining: 1,
      connectTimeoutMs,
      receiveSocket: socket => { this.#socket = socket },
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maxResponseBytes
    })
  }

  async call (options: Dispatcher.RequestOptions, timeoutMs: number): Promise<{ status: number, body: Buffer }> {
    const call = new AbortController()
    this.#unanswered.add(call)
    const timer = setTimeout(() => this.#endLateCall(call), timeoutMs)
    try {
      const response = await this.#client.request({ ...options, signal: call.signal })
      this.#unanswered.delete(call)
      return { status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) }
    } finally {
      clearTimeout(timer)
      this.#unanswered.delete(call)
    }
  }

  /** An order that has not reached the engine yet must not do so later, when another host may own the engine. */
  #endLateCall (call: AbortController): void {
    const [written] = this.#unanswered
    if (written === call && this.#socket && !this.#socket.destroyed) resetSocket(this.#socket)
    else call.abort(new VError('the engine did not answer in time'))
  }

  close (): void {
    this.#client.destroy().catch(() => {
      // The calls that it ends report it themselves.
    })
  }
}

async function sendOrder (connection: EngineConnection, endpointId: string, order: EngineOrder, holder: OrderHolder, timeoutMs: number): Promise<EngineOrderOutcome> {
  try {
    const { status, body } = await connection.call({
      method: 'POST',
      path: wirePaths.order,
      headers: { 'content-type': 'application/json', [wireHeaders.expectEndpoint]: endpointId },
      body: JSON.stringify(encodeOrder(order, holder))
    }, timeoutMs)
    return decodeOrderOutcome(status, body.toString('utf8').slice(0, 200))
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

async function readState (connection: EngineConnection, endpointId: string): Promise<EngineState> {
  const { status, body } = await connection.call({ method: 'GET', path: wirePaths.report, headers: { [wireHeaders.expectEndpoint]: endpointId } }, reportTimeoutMs)
  const state = status === 200 ? decodeEngineReport(body) : undefined
  if (!state) throw new VError('engine "%s" answered with status %d and without a readable report', endpointId, status)
  return state
}
