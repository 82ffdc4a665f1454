/** Talks to an operators' port. */
import type { Dispatcher } from 'undici'
import { createHttpAgent } from '../adapters/httpClient/httpClients.js'
import type { ConfigurationKind, VersionedRecord } from '../schemas/configuration.js'
import type { ChangeRequest, ChangeResult } from '../tasks/configuration/configurationChange.js'
import { EventParser } from '../tasks/operators/eventParser.js'
import type { ServerEvent } from '../tasks/operators/eventParser.js'
import { createClientError } from './clientError.js'
import type { ClientSettings } from './clientSettings.js'

const answerTimeoutMs = 30_000
/** A change of tens of thousands of records takes many writes. */
const changeTimeoutMs = 300_000
const pageSize = 1000

interface ErrorBody {
  error?: { message?: string, code?: string }
}

export class OperatorsClient {
  #settings: ClientSettings
  #agent = createHttpAgent()

  constructor (settings: ClientSettings) {
    this.#settings = settings
  }

  /** Reads a JSON answer. Throws a client error where it is refused or does not come. */
  async read (path: string): Promise<unknown> {
    const response = await this.#send('GET', path, undefined, answerTimeoutMs)
    return await this.#readAnswer(response)
  }

  async remove (path: string): Promise<unknown> {
    return await this.#readAnswer(await this.#send('DELETE', path, undefined, answerTimeoutMs))
  }

  /** Resolves to undefined where the record does not exist. */
  async findRecord (kind: ConfigurationKind, name: string): Promise<VersionedRecord | undefined> {
    const response = await this.#send('GET', `/api/records/${kind}/${encodeURIComponent(name)}`, undefined, answerTimeoutMs)
    if (response.statusCode !== 404) return await this.#readAnswer(response) as VersionedRecord
    await response.body.dump()
    return undefined
  }

  /** Lists every record of a kind, page by page. */
  async listRecords (kind: ConfigurationKind): Promise<VersionedRecord[]> {
    const records: VersionedRecord[] = []
    for (let hasMore = true; hasMore;) {
      const after = encodeURIComponent(records.at(-1)?.record.name ?? '')
      const page = await this.read(`/api/records/${kind}?limit=${pageSize}&after=${after}`) as { records: VersionedRecord[], hasMore: boolean }
      records.push(...page.records)
      hasMore = page.hasMore
    }
    return records
  }

  /** Asks for a change; every result of the system is returned, only other failures throw. */
  async changeRecords (change: ChangeRequest): Promise<ChangeResult> {
    const response = await this.#send('POST', '/api/changes', JSON.stringify(change), changeTimeoutMs)
    const body = JSON.parse(await response.body.text()) as ChangeResult | ErrorBody
    if ('type' in body) return body
    throw createAnswerError(response.statusCode, body)
  }

  /** Reads a live feed until the signal or the gateway ends it. */
  async * openFeed (path: string, signal: AbortSignal): AsyncGenerator<ServerEvent> {
    const response = await this.#send('GET', path, undefined, 0, signal)
    if (response.statusCode !== 200) await this.#readAnswer(response)
    const parser = new EventParser()
    try {
      for await (const chunk of response.body as AsyncIterable<Buffer>) yield * parser.receive(chunk)
    } catch (error) {
      if (!signal.aborted) throw createUnreachable(this.#settings.address, error as Error)
    }
  }

  async #readAnswer (response: Dispatcher.ResponseData): Promise<unknown> {
    const text = await response.body.text()
    if (response.statusCode < 300) return JSON.parse(text) as unknown
    throw createAnswerError(response.statusCode, parseErrorBody(text))
  }

  async #send (
    method: 'GET' | 'POST' | 'DELETE', path: string, body: string | undefined, timeoutMs: number, signal?: AbortSignal
  ): Promise<Dispatcher.ResponseData> {
    const { address, key } = this.#settings
    try {
      return await this.#agent.request({
        origin: `http://${address}`,
        path,
        method,
        headers: { authorization: `Bearer ${key}`, ...(body !== undefined && { 'content-type': 'application/json' }) },
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        ...(body !== undefined && { body }),
        ...(signal && { signal })
      })
    } catch (error) {
      throw createUnreachable(address, error as Error)
    }
  }
}

function createUnreachable (address: string, error: Error): Error {
  const code = (error as NodeJS.ErrnoException).code ?? error.message
  return createClientError('unreachable', `no answer from the operators' port at ${address} (${code}); try another gateway with --address`)
}

function createAnswerError (status: number, body: ErrorBody): Error {
  const message = body.error?.message ?? `the operators' port answered with status ${status}`
  if (status === 401) return createClientError('refused', `${message}; check SEDGEVALVE_OPERATOR_KEY or [operators] key`)
  return createClientError(status >= 500 ? 'unreachable' : 'refused', message)
}

function parseErrorBody (text: string): ErrorBody {
  try {
    return JSON.parse(text) as ErrorBody
  } catch {
    return {}
  }
}
