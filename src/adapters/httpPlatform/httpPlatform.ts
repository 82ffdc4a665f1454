/** HTTP client of the platform's table, object store and host list, with the API of the stand-in platform. */
import type { Dispatcher } from 'undici'
import { Type } from '@sinclair/typebox'
import type { HostList } from '../../ports/hostList.js'
import type { ObjectStore } from '../../ports/objectStore.js'
import { createPlatformUnavailable } from '../../ports/platformUnavailable.js'
import { checkTransactionSize, tableRowSchema, transactionOutcomeSchema } from '../../ports/table.js'
import type { RowRange, Table, TableRow, Transaction, TransactionOutcome } from '../../ports/table.js'
import { createParser } from '../../schemas/createParser.js'
import { hostListEntrySchema } from '../../schemas/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import { disableParserOptimization } from '../endpointHttp/disableParserOptimization.js'
import { createHttpPool } from '../httpClient/httpClients.js'

const requestTimeoutMs = 2000
const maxConnections = 16
const parseRows = createParser(Type.Array(tableRowSchema))
const parseEntries = createParser(Type.Array(hostListEntrySchema))
const parseOutcome = createParser(transactionOutcomeSchema)
/** Connect errors: the platform has certainly not received the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])

// Gateways and schedulers load this module before any of their clients connects.
disableParserOptimization()

export interface Platform {
  table: Table
  objects: ObjectStore
  hostList: HostList
  close: () => Promise<void>
}

type SendRequest = (method: Dispatcher.HttpMethod, path: string, body?: unknown, headers?: Record<string, string>) => Promise<Dispatcher.ResponseData>

/**
 * Creates a client of the platform at `ip:port`.
 *
 * @example
 * const platform = createHttpPlatform('127.0.0.1:7490')
 */
export function createHttpPlatform (address: string): Platform {
  const pool = createHttpPool(address, { connections: maxConnections, pipelining: 1 })
  const sendRequest: SendRequest = async (method, path, body, headers = {}) => await pool.request({
    method,
    path,
    headersTimeout: requestTimeoutMs,
    bodyTimeout: requestTimeoutMs,
    headers,
    ...(body !== undefined && createBody(body))
  })
  return {
    table: createHttpTable(sendRequest),
    objects: createHttpObjects(sendRequest),
    hostList: createHttpHostList(sendRequest),
    close: async () => await pool.destroy()
  }
}

function createBody (body: unknown): { body: string | Uint8Array, headers: Record<string, string> } {
  if (body instanceof Uint8Array) return { body, headers: { 'content-type': 'application/octet-stream' } }
  return { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
}

function createHttpTable (sendRequest: SendRequest): Table {
  return {
    readRows: async keys => parseRows(await readJson('table', sendRequest('POST', '/table/read', { keys }))) as TableRow[],
    listRows: async (range: RowRange) => parseRows(await readJson('table', sendRequest('POST', '/table/list', range))) as TableRow[],
    transact: async transaction => await sendTransaction(sendRequest, transaction)
  }
}

async function sendTransaction (sendRequest: SendRequest, transaction: Transaction): Promise<TransactionOutcome> {
  checkTransactionSize(transaction)
  try {
    const response = await sendRequest('POST', '/table/transact', transaction)
    const body: unknown = await response.body.json()
    if (response.statusCode === 200) return parseOutcome(body)
    if (response.statusCode === 503) return { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
    return { verdict: 'unknown', message: `the table responded with status ${response.statusCode}` }
  } catch (error) {
    const { code = '', message } = error as NodeJS.ErrnoException
    if (neverSentCodes.has(code)) return { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
    return { verdict: 'unknown', message }
  }
}

function createHttpObjects (sendRequest: SendRequest): ObjectStore {
  const formatObjectPath = (key: string): string => `/objects/${encodeURIComponent(key)}`
  return {
    writeObject: async (key, bytes) => { await readJson('object', sendRequest('PUT', formatObjectPath(key), bytes)) },
    readObject: async key => await readObject(sendRequest, formatObjectPath(key)),
    removeObject: async key => { await readJson('object', sendRequest('DELETE', formatObjectPath(key))) }
  }
}

async function readObject (sendRequest: SendRequest, path: string): Promise<Uint8Array | undefined> {
  try {
    const response = await sendRequest('GET', path)
    const bytes = new Uint8Array(await response.body.arrayBuffer())
    if (response.statusCode === 404) return undefined
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return bytes
  } catch (error) {
    throw createPlatformUnavailable('object', error as Error)
  }
}

interface CachedHostList {
  /** Entity tag of the response that contained the entries. */
  etag: string
  entries: HostListEntry[]
}

/** Reads the host list with a conditional request, so that it is sent only if it has changed since the last read. */
async function readHostList (sendRequest: SendRequest, cached: CachedHostList | undefined): Promise<CachedHostList> {
  try {
    const response = await sendRequest('GET', '/hosts', undefined, cached && { 'if-none-match': cached.etag })
    if (cached && response.statusCode === 304) {
      await response.body.dump()
      return cached
    }
    const body: unknown = await response.body.json()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return { etag: String(response.headers.etag ?? ''), entries: parseEntries(body) }
  } catch (error) {
    throw createPlatformUnavailable('host list', error as Error)
  }
}

function createHttpHostList (sendRequest: SendRequest): HostList {
  let cached: CachedHostList | undefined
  return {
    listEntries: async () => {
      cached = await readHostList(sendRequest, cached)
      return [...cached.entries]
    },
    announceEntry: async (entry: HostListEntry) => {
      await readJson('host list', sendRequest('PUT', `/hosts/${encodeURIComponent(entry.id)}`, entry))
    },
    withdrawEntry: async id => { await readJson('host list', sendRequest('DELETE', `/hosts/${encodeURIComponent(id)}`)) }
  }
}

async function readJson (service: string, pendingResponse: Promise<Dispatcher.ResponseData>): Promise<unknown> {
  try {
    const response = await pendingResponse
    const body: unknown = await response.body.json()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return body
  } catch (error) {
    throw createPlatformUnavailable(service, error as Error)
  }
}
