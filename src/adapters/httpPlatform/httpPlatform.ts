/** The platform's services over HTTP, as the stand-in serves them. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { Type } from '@sinclair/typebox'
import type { HostList } from '../../ports/hostList.js'
import type { Objects } from '../../ports/objects.js'
import { createPlatformUnavailable } from '../../ports/platformUnavailable.js'
import { checkTransactionSize, tableRowSchema, transactionOutcomeSchema } from '../../ports/table.js'
import type { RowRange, Table, TableRow, Transaction, TransactionOutcome } from '../../ports/table.js'
import { createParser } from '../../schemas/createParser.js'
import { hostListEntrySchema } from '../../schemas/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'

const requestTimeoutMs = 2000
const maxConnections = 16
const parseRows = createParser(Type.Array(tableRowSchema))
const parseEntries = createParser(Type.Array(hostListEntrySchema))
const parseOutcome = createParser(transactionOutcomeSchema)
/** Errors after which the platform certainly has not seen the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])

export interface Platform {
  table: Table
  objects: Objects
  hostList: HostList
  close: () => Promise<void>
}

type Call = (method: Dispatcher.HttpMethod, path: string, body?: unknown, headers?: Record<string, string>) => Promise<Dispatcher.ResponseData>

/**
 * Connects to the platform at `ip:port`.
 *
 * @example
 * const platform = createHttpPlatform('127.0.0.1:7490')
 */
export function createHttpPlatform (address: string): Platform {
  const pool = new Pool(`http://${address}`, { connections: maxConnections, pipelining: 1 })
  const call: Call = async (method, path, body, headers = {}) => await pool.request({
    method,
    path,
    headersTimeout: requestTimeoutMs,
    bodyTimeout: requestTimeoutMs,
    headers,
    ...(body !== undefined && createBody(body))
  })
  return {
    table: createHttpTable(call),
    objects: createHttpObjects(call),
    hostList: createHttpHostList(call),
    close: async () => await pool.destroy()
  }
}

function createBody (body: unknown): { body: string | Uint8Array, headers: Record<string, string> } {
  if (body instanceof Uint8Array) return { body, headers: { 'content-type': 'application/octet-stream' } }
  return { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
}

function createHttpTable (call: Call): Table {
  return {
    readRows: async keys => parseRows(await readJson('table', call('POST', '/table/read', { keys }))) as TableRow[],
    listRows: async (range: RowRange) => parseRows(await readJson('table', call('POST', '/table/list', range))) as TableRow[],
    transact: async transaction => await sendTransaction(call, transaction)
  }
}

async function sendTransaction (call: Call, transaction: Transaction): Promise<TransactionOutcome> {
  checkTransactionSize(transaction)
  try {
    const response = await call('POST', '/table/transact', transaction)
    const answer: unknown = await response.body.json()
    if (response.statusCode === 200) return parseOutcome(answer)
    if (response.statusCode === 503) return { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
    return { verdict: 'unknown', message: `the table answered with status ${response.statusCode}` }
  } catch (error) {
    const { code = '', message } = error as NodeJS.ErrnoException
    if (neverSentCodes.has(code)) return { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
    return { verdict: 'unknown', message }
  }
}

function createHttpObjects (call: Call): Objects {
  const formatPath = (key: string): string => `/objects/${encodeURIComponent(key)}`
  return {
    writeObject: async (key, bytes) => { await readJson('object', call('PUT', formatPath(key), bytes)) },
    readObject: async key => await readObject(call, formatPath(key)),
    removeObject: async key => { await readJson('object', call('DELETE', formatPath(key))) }
  }
}

async function readObject (call: Call, path: string): Promise<Uint8Array | undefined> {
  try {
    const response = await call('GET', path)
    const bytes = new Uint8Array(await response.body.arrayBuffer())
    if (response.statusCode === 404) return undefined
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return bytes
  } catch (error) {
    throw createPlatformUnavailable('object', error as Error)
  }
}

interface KnownList {
  /** Entity tag of the answer that held the entries. */
  tag: string
  entries: HostListEntry[]
}

/** The list crosses the network only where it has changed since it was read last. */
async function readHostList (call: Call, known: KnownList | undefined): Promise<KnownList> {
  try {
    const response = await call('GET', '/hosts', undefined, known && { 'if-none-match': known.tag })
    if (known && response.statusCode === 304) {
      await response.body.dump()
      return known
    }
    const answer: unknown = await response.body.json()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return { tag: String(response.headers.etag ?? ''), entries: parseEntries(answer) }
  } catch (error) {
    throw createPlatformUnavailable('host list', error as Error)
  }
}

function createHttpHostList (call: Call): HostList {
  let known: KnownList | undefined
  return {
    listEntries: async () => {
      known = await readHostList(call, known)
      return [...known.entries]
    },
    announceEntry: async (entry: HostListEntry) => {
      await readJson('host list', call('PUT', `/hosts/${encodeURIComponent(entry.id)}`, entry))
    },
    withdrawEntry: async id => { await readJson('host list', call('DELETE', `/hosts/${encodeURIComponent(id)}`)) }
  }
}

async function readJson (service: string, call: Promise<Dispatcher.ResponseData>): Promise<unknown> {
  try {
    const response = await call
    const answer: unknown = await response.body.json()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return answer
  } catch (error) {
    throw createPlatformUnavailable(service, error as Error)
  }
}
