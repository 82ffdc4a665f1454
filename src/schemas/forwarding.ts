/** What hosts tell each other about a request that one of them sends through the other, in a header of the request and its response. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'

/** Name of the header, in lower case as Node.js delivers it. */
export const forwardingHeader = 'sedgevalve-forwarding'

/** What the sending host has decided or tried. */
export const forwardedFieldsSchema = Type.Object({
  /** Service that was picked among those of the route. */
  service: Type.Optional(Type.String()),
  /** Software version of the endpoints that may go on with the stream; absent before its first event. */
  softwareVersion: Type.Optional(Type.Union([Type.String(), Type.Undefined()])),
  /** Endpoints that the request was sent to. */
  attemptedEndpointIds: Type.Array(Type.String()),
  /** How often the request may have run. */
  runs: Type.Integer({ minimum: 0 }),
  /** Name of the client account that the sending host found by the caller's key; empty if the route needs none, absent if it checked no key. */
  account: Type.Optional(Type.Union([Type.String(), Type.Undefined()]))
})
export type ForwardedFields = Static<typeof forwardedFieldsSchema>

/** What the receiving host adds to its response. */
export const forwardingReplySchema = Type.Object({
  /**
   * Present if the request was not run and never will be by this host: `elsewhere` if another host may be able to serve it,
   * `notRun` if this one could, but has refused it.
   */
  verdict: Type.Optional(Type.Union([Type.Literal('notRun'), Type.Literal('elsewhere')])),
  /** Software version of the endpoint that answered. */
  softwareVersion: Type.Optional(Type.String())
})
export type ForwardingReply = Static<typeof forwardingReplySchema>

const forwardedFieldsCheck = TypeCompiler.Compile(forwardedFieldsSchema)
const forwardingReplyCheck = TypeCompiler.Compile(forwardingReplySchema)

/** Encodes either side's fields as a header value. */
export function encodeForwarding (fields: ForwardedFields | ForwardingReply): string {
  return encodeURIComponent(JSON.stringify(fields))
}

/**
 * Decodes the fields of a request; undefined if the value is absent or invalid.
 *
 * @example
 * decodeForwardedFields(encodeForwarding({ service: 'llm', attemptedEndpointIds: [], runs: 0 }))?.service // 'llm'
 */
export function decodeForwardedFields (value: string | undefined): ForwardedFields | undefined {
  const fields = parseValue(value)
  return forwardedFieldsCheck.Check(fields) ? fields : undefined
}

/** Decodes the fields of a response; undefined if the value is absent or invalid. */
export function decodeForwardingReply (value: string | undefined): ForwardingReply | undefined {
  const reply = parseValue(value)
  return forwardingReplyCheck.Check(reply) ? reply : undefined
}

function parseValue (value: string | undefined): unknown {
  if (value === undefined) return undefined
  try {
    return JSON.parse(decodeURIComponent(value))
  } catch {
    // Not what a host writes; the caller treats it as absent.
    return undefined
  }
}
