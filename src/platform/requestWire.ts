/** Reads callers' requests, writes them for endpoints, and reads the heads of their answers. */
import type { IncomingMessage } from 'node:http'
import type { AnswerHead, CallerRequest, EndpointLoad, SendMark } from '../schemas/callerRequest.js'
import { systemHeaders, wireHeaders } from './wireNames.js'

/** Headers that concern one connection alone. */
const hopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'http2-settings',
  'proxy-authorization', 'proxy-authenticate', 'content-length'
])

/**
 * Reads a request whose body has arrived whole.
 *
 * @example
 * decodeRequest(message, body, clock.readMonotonic()).adapter // 'a3'
 */
export function decodeRequest (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number): CallerRequest {
  const { headers } = message
  const modelName = readText(headers[wireHeaders.model])
  const slash = modelName.indexOf('/')
  const [promptTokens = 0, maxTokens = 0] = readText(headers[wireHeaders.tokens]).split(',').map(readNumber)
  return {
    requestId: readText(headers[wireHeaders.requestId]) || undefined,
    method: message.method ?? 'GET',
    callerKey: readText(headers.authorization),
    path: message.url ?? '/',
    host: headers.host ?? '',
    headers: filterHeaders(message),
    body,
    receivedAtMs,
    timeLeftMs: readOptionalNumber(headers[wireHeaders.timeLeftMs]),
    lastEventId: readOptionalNumber(headers[wireHeaders.lastEventId]),
    model: slash < 0 ? modelName : modelName.slice(0, slash),
    adapter: slash < 0 ? '' : modelName.slice(slash + 1),
    promptTokens,
    maxTokens,
    // Parts are ID:TOKENS pairs.
    promptParts: readText(headers[wireHeaders.promptParts]).split(',').filter(part => part !== '').map(decodePart)
  }
}

function decodePart (part: string): { id: string, tokens: number } {
  const [id = '', tokens = ''] = part.split(':')
  return { id, tokens: readNumber(tokens) }
}

function filterHeaders (message: IncomingMessage): string[] {
  const named = new Set(readText(message.headers.connection).toLowerCase().split(',').map(name => name.trim()))
  const kept: string[] = []
  const { rawHeaders } = message
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (hopHeaders.has(name) || systemHeaders.has(name) || named.has(name)) continue
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return kept
}

/** Writes the headers under which a request goes to an endpoint. */
export function encodeRequestHeaders (request: CallerRequest, mark: SendMark): string[] {
  const headers: string[] = []
  for (let index = 0; index < request.headers.length; index += 2) {
    const name = request.headers[index]!
    if (mark.lastEventId !== undefined && name.toLowerCase() === wireHeaders.lastEventId) continue
    headers.push(name, request.headers[index + 1]!)
  }
  headers.push(wireHeaders.expectEndpoint, mark.endpointId, wireHeaders.timeLeftMs, String(Math.max(1, Math.floor(mark.timeLeftMs))))
  if (mark.version > 0) headers.push(wireHeaders.expectVersion, String(mark.version))
  if (mark.priority !== undefined) headers.push(wireHeaders.priority, String(mark.priority))
  if (mark.lastEventId !== undefined) headers.push(wireHeaders.lastEventId, String(mark.lastEventId))
  return headers
}

/** Answers of an endpoint that promise by their status alone that the request did not run. */
const misdirectedStatus = 421

/**
 * Reads the head of an endpoint's answer. `rawHeaders` holds names and values in turn.
 *
 * @example
 * decodeAnswerHead(503, ['Not-Executed', '1']).isNotRun // true
 */
export function decodeAnswerHead (status: number, rawHeaders: readonly string[]): AnswerHead {
  const values = new Map<string, string>()
  const headers: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    values.set(name, rawHeaders[index + 1]!)
    if (!hopHeaders.has(name)) headers.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  const retryAfter = values.get(wireHeaders.retryAfter)
  const retryAfterS = readOptionalNumber(retryAfter)
  const isRetryAfterValid = retryAfterS !== undefined && retryAfterS >= 0
  const contentLength = readOptionalNumber(values.get('content-length'))
  return {
    status,
    headers,
    requestId: values.get(wireHeaders.requestId),
    isSigned: values.has(wireHeaders.signature),
    isNotRun: values.has(wireHeaders.notRun) || status === misdirectedStatus,
    load: decodeLoad(values.get(wireHeaders.load)),
    retryAfterMs: isRetryAfterValid ? retryAfterS * 1000 : undefined,
    unreadableRetryAfter: isRetryAfterValid ? undefined : retryAfter,
    isLeaving: values.get(wireHeaders.leaving) === '1',
    contentLength,
    isEncoded: values.has('content-encoding'),
    isClosing: (values.get('connection') ?? '').toLowerCase().includes('close')
  }
}

function decodeLoad (value: string | undefined): EndpointLoad | undefined {
  const [running, waiting, places] = (value ?? '').split(',').map(readNumber)
  return running === undefined || waiting === undefined || !places ? undefined : { running, waiting, places }
}

/** Headers of the system's own answers. A time to come back is told in seconds and may have fractions. */
export function encodeRefusalHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[] {
  const headers: string[] = []
  if (requestId !== undefined) headers.push('Attempt-Id', requestId)
  if (retryAfterMs !== undefined) headers.push('Retry-After', String(Math.max(0, retryAfterMs) / 1000))
  return headers
}

function readText (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(',') : value ?? ''
}

function readNumber (text: string): number {
  const value = Number(text)
  return Number.isFinite(value) ? value : 0
}

function readOptionalNumber (value: string | string[] | undefined): number | undefined {
  const text = readText(value)
  if (text === '') return undefined
  const number = Number(text)
  return Number.isFinite(number) ? number : undefined
}
