/** Adds and removes the header by which hosts tell each other about forwarded requests. */
import type { IncomingMessage } from 'node:http'
import type { CallerRequest, ResponseHead } from '../../schemas/callerRequest.js'
import { decodeForwardedFields, decodeForwardingReply, encodeForwarding, forwardingHeader } from '../../schemas/forwarding.js'
import type { ForwardedFields, ForwardingReply } from '../../schemas/forwarding.js'

export type DecodeRequest = (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number) => CallerRequest

/**
 * Returns a function that decodes requests which other hosts send through this one.
 *
 * @example
 * createForwardedDecoder(decodeRequest)(message, body, clock.readMonotonic()).forwarded?.service // 'llm'
 */
export function createForwardedDecoder (decodeRequest: DecodeRequest): DecodeRequest {
  return (message, body, receivedAtMs) => {
    const request = decodeRequest(message, body, receivedAtMs)
    const fields = decodeForwardedFields(readHeader(message.headers[forwardingHeader]))
    return { ...request, headers: removeHeader(request.headers, forwardingHeader), forwarded: fields ?? { attemptedEndpointIds: [], runs: 0 } }
  }
}

/** Adds the fields of a request to headers that are names and values in turn. */
export function addForwardedFields (headers: readonly string[], fields: ForwardedFields): string[] {
  return [...removeHeader(headers, forwardingHeader), forwardingHeader, encodeForwarding(fields)]
}

/** Returns the headers, names and values in turn, of a response to another host. */
export function createReplyHeaders (reply: ForwardingReply): string[] {
  return [forwardingHeader, encodeForwarding(reply)]
}

/**
 * Returns the headers, names and values in turn, of this host's own response to a forwarded request: whether the request was
 * run, which a caller knows from the status. A host without the route is behind the one that forwarded the request.
 */
export function createVerdictHeaders (status: number, mayBeServedElsewhere: boolean): string[] {
  if (status === 404 || mayBeServedElsewhere) return createReplyHeaders({ verdict: 'elsewhere' })
  return createReplyHeaders(status === 503 ? { verdict: 'notRun' } : {})
}

/** Splits the head of another host's response into what the caller gets and what is for this host. */
export function splitForwardedHead (head: ResponseHead): { head: ResponseHead, reply: ForwardingReply } {
  const index = head.headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === forwardingHeader)
  const reply = decodeForwardingReply(index < 0 ? undefined : head.headers[index + 1]) ?? {}
  return { head: { ...head, headers: removeHeader(head.headers, forwardingHeader), isNotRun: head.isNotRun || reply.verdict !== undefined }, reply }
}

function removeHeader (headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== name)
}

function readHeader (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
