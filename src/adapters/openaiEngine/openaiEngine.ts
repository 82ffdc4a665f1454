/** Client of engines that serve the OpenAI API with endpoints to load and unload LoRA adapters. */
import type { Dispatcher, Pool } from 'undici'
import { engineReportSchema } from '../../ports/engine.js'
import type { AdapterOrder, Engine, EngineReport, GenerationRequest, GenerateEvent, Generation, AdapterOrderOutcome } from '../../ports/engine.js'
import { createParser } from '../../schemas/createParser.js'
import { requireValidStatus } from '../endpointHttp/requireValidStatus.js'
import { createHttpPool } from '../httpClient/httpClients.js'
import { parseEngineError } from './engineError.js'
import { runGeneration } from './runGeneration.js'

/** A load may wait for the weight store, and the engine responds only when the load has ended. */
const loadTimeoutMs = 60_000
const unloadTimeoutMs = 5_000
const reportTimeoutMs = 2_000
const maxConnectionsPerEngine = 512
/** An engine that sends no data of a response for this long has stalled. */
const defaultIdleTimeoutMs = 30_000
const parseReport = createParser(engineReportSchema)

export interface OpenaiEngineOptions {
  idleTimeoutMs?: number
}

/** Keeps a connection pool for each engine. */
export class OpenaiEngine implements Engine {
  #pools = new Map<string, Pool>()
  #idleTimeoutMs: number

  constructor (options: OpenaiEngineOptions = {}) {
    this.#idleTimeoutMs = options.idleTimeoutMs ?? defaultIdleTimeoutMs
  }

  async readReport (address: string): Promise<EngineReport> {
    const response = await this.#getPool(address).request({
      method: 'GET', path: '/report', headersTimeout: reportTimeoutMs, bodyTimeout: reportTimeoutMs
    })
    requireValidStatus(response)
    return parseReport(await response.body.json())
  }

  async loadAdapter (address: string, order: AdapterOrder): Promise<AdapterOrderOutcome> {
    return await this.#sendOrder(address, '/v1/load_lora_adapter', order, loadTimeoutMs)
  }

  async unloadAdapter (address: string, order: AdapterOrder): Promise<AdapterOrderOutcome> {
    return await this.#sendOrder(address, '/v1/unload_lora_adapter', order, unloadTimeoutMs)
  }

  generate (address: string, request: GenerationRequest, send: (event: GenerateEvent) => void, mayStart: () => boolean): Generation {
    return runGeneration(this.#getPool(address), address, request, this.#idleTimeoutMs, send, mayStart)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async pool => await pool.destroy()))
    this.#pools.clear()
  }

  #getPool (address: string): Pool {
    let pool = this.#pools.get(address)
    if (!pool) {
      pool = createHttpPool(address, { connections: maxConnectionsPerEngine, pipelining: 1 })
      this.#pools.set(address, pool)
    }
    return pool
  }

  async #sendOrder (address: string, path: string, order: AdapterOrder, timeoutMs: number): Promise<AdapterOrderOutcome> {
    const body = JSON.stringify({
      lora_name: order.handle, lora_path: `${order.adapter}@${order.version}`, fencing: order.fencing
    })
    try {
      const response = await this.#getPool(address).request({
        method: 'POST', path, body, headers: { 'content-type': 'application/json' }, headersTimeout: timeoutMs, bodyTimeout: timeoutMs
      })
      requireValidStatus(response)
      return await readOrderOutcome(response)
    } catch (error) {
      return { verdict: 'unknown', message: (error as Error).message }
    }
  }
}

async function readOrderOutcome (response: Dispatcher.ResponseData): Promise<AdapterOrderOutcome> {
  const text = await response.body.text()
  if (response.statusCode === 200) return { verdict: 'done' }
  const error = parseEngineError(text)
  return { verdict: 'refused', code: error.code, message: error.message }
}
