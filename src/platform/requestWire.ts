/** Decodes callers' requests, encodes them for endpoints, and decodes the heads of the endpoints' responses. */
import type { IncomingMessage } from 'node:http'
import type { ResponseHead, CallerRequest, EndpointLoad, SystemRequestFields } from '../schemas/callerRequest.js'
import { credentialsHeader, maxApiKeyLength, reservedHeaders, wireHeaders } from './wireNames.js'

/** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'http2-settings',
  'proxy-authorization', 'proxy-authenticate', 'content-length'
])

/**
 * Decodes a request whose body has been received completely.
 *
 * @example
 * decodeRequest(message, body, clock.readMonotonic()).adapter // 'a3'
 */
export function decodeRequest (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number): CallerRequest {
  const { headers } = message
  const modelName = joinHeaderValues(headers[wireHeaders.model])
  const slash = modelName.indexOf('/')
  const { forwarded, credentials } = filterHeaders(message)
  const tokens = joinHeaderValues(headers[wireHeaders.tokens])
  const [promptTokens = 0, maxTokens = 0] = tokens.split(',').map(parseNumberOrZero)
  return {
    requestId: joinHeaderValues(headers[wireHeaders.requestId]) || undefined,
    method: message.method ?? 'GET',
    callerKey: joinHeaderValues(headers.authorization),
    apiKey: decodeApiKey(credentials),
    path: message.url ?? '/',
    host: headers.host ?? '',
    headers: forwarded,
    body,
    receivedAtMs,
    timeLeftMs: parseOptionalNumber(headers[wireHeaders.timeLeftMs]),
    lastEventId: parseOptionalNumber(headers[wireHeaders.lastEventId]),
    isResumption: joinHeaderValues(headers[wireHeaders.lastEventId]) !== '',
    resumedRequestId: joinHeaderValues(headers[wireHeaders.resumes]) || undefined,
    model: slash < 0 ? modelName : modelName.slice(0, slash),
    adapter: slash < 0 ? '' : modelName.slice(slash + 1),
    promptTokens,
    maxTokens,
    hasTokenCounts: tokenCountsPattern.test(tokens),
    promptSegments: decodePromptSegments(joinHeaderValues(headers[wireHeaders.promptParts]))
  }
}

/** Two numbers of 0 or more. */
const tokenCountsPattern = /^\s*\d+(\.\d+)?\s*,\s*\d+(\.\d+)?\s*$/

/**
 * An ID:TOKENS pair; the ID is hexadecimal. Leading zeros are not captured, as the same ID may be written with or without them. Whatever is
 * captured begins with another digit, or a search through a list of zeros would take time in proportion to the square of its length.
 */
const promptSegmentPattern = /^\s*0*([1-9a-f][0-9a-f]*|0):(\d+(?:\.\d+)?)\s*$/i

/** Decodes a list of ID:TOKENS pairs. Returns none if any pair is malformed, as it is then unclear which segment is the last one. */
function decodePromptSegments (list: string): { id: string, tokens: number }[] {
  if (list.trim() === '') return []
  const pairs = list.split(',').map(pair => promptSegmentPattern.exec(pair))
  if (!pairs.every(pair => pair !== null)) return []
  const segments = pairs.map(([, id, tokens]) => ({ id: id!.toLowerCase(), tokens: Number(tokens) }))
  // Hosts drop messages with numbers that are not finite, as those of very many digits are.
  return segments.every(({ tokens }) => Number.isFinite(tokens)) ? segments : []
}

/** Whitespace surrounds the key at most; one that holds any is of no account. */
const apiKeyPattern = /^bearer +(\S+)\s*$/i

/** Returns the key that identifies a client account; undefined if there is none, or more than one line that could hold it. */
function decodeApiKey ([credentials, ...others]: readonly string[]): string | undefined {
  const key = credentials === undefined || others.length > 0 ? undefined : apiKeyPattern.exec(credentials)?.[1]
  return key !== undefined && key.length <= maxApiKeyLength ? key : undefined
}

/** Removes the credentials of a caller, and the account that it names itself, from headers that are names and values in turn. */
export function removeAccountHeaders (headers: readonly string[]): string[] {
  return headers.filter((_, index) => {
    const name = headers[index - index % 2]!.toLowerCase()
    return name !== credentialsHeader && name !== wireHeaders.account
  })
}

/** Returns the headers that are forwarded, and the values of all lines that hold credentials, of which Node.js keeps only the first. */
function filterHeaders (message: IncomingMessage): { forwarded: string[], credentials: string[] } {
  const connectionHeaders = new Set(joinHeaderValues(message.headers.connection).toLowerCase().split(',').map(name => name.trim()))
  const forwarded: string[] = []
  const credentials: string[] = []
  const { rawHeaders } = message
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (name === credentialsHeader) credentials.push(rawHeaders[index + 1]!)
    if (hopByHopHeaders.has(name) || reservedHeaders.has(name) || connectionHeaders.has(name)) continue
    forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return { forwarded, credentials }
}

/** Encodes the headers with which a request is sent to an endpoint. Returns names and values in turn. */
export function encodeRequestHeaders (request: CallerRequest, systemFields: SystemRequestFields): string[] {
  const headers: string[] = []
  for (let index = 0; index < request.headers.length; index += 2) {
    const name = request.headers[index]!
    if (systemFields.lastEventId !== undefined && name.toLowerCase() === wireHeaders.lastEventId) continue
    headers.push(name, request.headers[index + 1]!)
  }
  if (systemFields.endpointId !== undefined) headers.push(wireHeaders.expectEndpoint, systemFields.endpointId)
  headers.push(wireHeaders.timeLeftMs, String(Math.max(1, Math.floor(systemFields.timeLeftMs))))
  if (systemFields.version > 0) headers.push(wireHeaders.expectVersion, String(systemFields.version))
  if (systemFields.priority !== undefined) headers.push(wireHeaders.priority, String(systemFields.priority))
  if (systemFields.lastEventId !== undefined) headers.push(wireHeaders.lastEventId, String(systemFields.lastEventId))
  if (request.account) headers.push(wireHeaders.account, request.account)
  return headers
}

/** Status by which alone an endpoint guarantees that it did not run the request. */
const misdirectedStatus = 421

/**
 * Decodes the head of an endpoint's response. `rawHeaders` holds names and values in turn.
 *
 * @example
 * decodeAnswerHead(503, ['Not-Executed', '1']).isNotRun // true
 */
export function decodeAnswerHead (status: number, rawHeaders: readonly string[]): ResponseHead {
  const values = new Map<string, string>()
  const headers: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    values.set(name, rawHeaders[index + 1]!)
    if (!hopByHopHeaders.has(name)) headers.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  const retryAfter = values.get(wireHeaders.retryAfter)
  const retryAfterS = parseOptionalNumber(retryAfter)
  const isRetryAfterValid = retryAfterS !== undefined && retryAfterS >= 0
  const contentLength = parseOptionalNumber(values.get('content-length'))
  const limit = decodeLowest(rawHeaders, wireHeaders.limit)
  const brittleness = decodeLowest(rawHeaders, wireHeaders.brittle)
  return {
    status,
    headers,
    requestId: values.get(wireHeaders.requestId),
    isSigned: values.has(wireHeaders.signature),
    isNotRun: values.has(wireHeaders.notRun) || status === misdirectedStatus,
    load: decodeLoad(values.get(wireHeaders.load)),
    retryAfterMs: isRetryAfterValid ? retryAfterS * 1000 : undefined,
    invalidRetryAfter: isRetryAfterValid ? undefined : retryAfter,
    isLeaving: values.get(wireHeaders.leaving) === '1',
    limitPerSecond: limit.value,
    invalidLimit: limit.invalid,
    maxRejectionsPerSecond: brittleness.value,
    invalidMaxRejections: brittleness.invalid,
    isFramed: values.has('content-length') || values.has('transfer-encoding'),
    contentLength,
    isEncoded: values.has('content-encoding'),
    isClosing: (values.get('connection') ?? '').toLowerCase().includes('close')
  }
}

const decimalPattern = /^\d+(\.\d+)?$/

/** Decodes a header with decimal numbers, of which the lowest counts; `invalid` holds the text if any of them is not one. */
function decodeLowest (rawHeaders: readonly string[], name: string): { value: number | undefined, invalid: string | undefined } {
  const texts = listHeaderValues(rawHeaders, name)
  if (texts.length === 0) return { value: undefined, invalid: undefined }
  return texts.every(text => decimalPattern.test(text)) ? { value: Math.min(...texts.map(Number)), invalid: undefined } : { value: undefined, invalid: texts.join(', ') }
}

/** Lists the values of a header that may occur more than once, or hold several values separated by commas. */
function listHeaderValues (rawHeaders: readonly string[], name: string): string[] {
  const lines = rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name)
  return lines.flatMap(line => line.split(',').map(value => value.trim()))
}

function decodeLoad (value: string | undefined): EndpointLoad | undefined {
  const [running, waiting, batchSlots, slownessPercent] = (value ?? '').split(',').map(parseNumberOrZero)
  if (running === undefined || waiting === undefined || !batchSlots) return undefined
  return { running, waiting, places: batchSlots, ...(slownessPercent !== undefined && slownessPercent > 0 && { slowness: slownessPercent / 100 }) }
}

/** Encodes the headers of the proxy's own responses. `Retry-After` is in seconds and may have a fraction. */
export function encodeRefusalHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[] {
  const headers: string[] = []
  if (requestId !== undefined) headers.push('Attempt-Id', requestId)
  if (retryAfterMs !== undefined) headers.push('Retry-After', String(Math.max(0, retryAfterMs) / 1000))
  return headers
}

function joinHeaderValues (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(',') : value ?? ''
}

function parseNumberOrZero (text: string): number {
  const value = Number(text)
  return Number.isFinite(value) ? value : 0
}

function parseOptionalNumber (value: string | string[] | undefined): number | undefined {
  const text = joinHeaderValues(value)
  if (text === '') return undefined
  const number = Number(text)
  return Number.isFinite(number) ? number : undefined
}
