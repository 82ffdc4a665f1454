/** Asks other gateways, on their operators' ports, with the key of the operator who asks. */
import type { Dispatcher } from 'undici'
import { createHttpAgent } from '../../adapters/httpClient/httpClients.js'
import type { HostList } from '../../ports/hostList.js'
import type { GatewayEntry } from '../../schemas/hostList.js'
import type { HostAnswer } from './peerQueries.js'

const answerTimeoutMs = 2000
const maxAnswerBytes = 16 * 1024 * 1024

export interface GatewayQueriesOptions {
  hostId: string
  hostList: HostList
}

export class GatewayQueries {
  #options: GatewayQueriesOptions
  #agent = createHttpAgent({ headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs, connectTimeoutMs: answerTimeoutMs })

  constructor (options: GatewayQueriesOptions) {
    this.#options = options
  }

  /** Lists the other gateways; empty while the list cannot be read. */
  async listOthers (): Promise<GatewayEntry[]> {
    const entries = await this.#options.hostList.listEntries().catch(() => [])
    return entries.filter(entry => entry.kind === 'gateway' && entry.id !== this.#options.hostId) as GatewayEntry[]
  }

  /** Reads a path from one gateway; resolves to undefined where it gives no usable answer. */
  async request (entry: GatewayEntry, path: string, authorization: string): Promise<unknown> {
    try {
      const response = await this.#send(entry, path, { headers: { authorization } })
      const text = await readText(response.body)
      return response.statusCode === 200 ? JSON.parse(text) as unknown : undefined
    } catch {
      return undefined
    }
  }

  /** Reads a path from every other gateway. */
  async requestAll (path: string, authorization: string): Promise<HostAnswer[]> {
    const others = await this.listOthers()
    return await Promise.all(others.map(async entry => ({ host: entry.id, answer: await this.request(entry, path, authorization) })))
  }

  /** Opens a live feed; resolves to undefined where the gateway refuses or cannot be reached. */
  async openFeed (entry: GatewayEntry, path: string, authorization: string, signal: AbortSignal): Promise<AsyncIterable<Buffer> | undefined> {
    try {
      const response = await this.#send(entry, path, { headers: { authorization }, bodyTimeout: 0, signal })
      return response.statusCode === 200 ? response.body : undefined
    } catch {
      return undefined
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #send (entry: GatewayEntry, path: string, options: Partial<Dispatcher.RequestOptions>): Promise<Dispatcher.ResponseData> {
    return await this.#agent.request({ origin: `http://${entry.address}`, path, method: 'GET', ...options })
  }
}

async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of body) {
    parts.push(part)
    bytes += part.length
    if (bytes > maxAnswerBytes) throw new Error(`the answer is larger than ${maxAnswerBytes} bytes`)
  }
  return Buffer.concat(parts).toString()
}
