/** Where an attempt is sent: an endpoint, or another host that sends the request on. */
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { CallerRequest, ResponseHead } from '../../schemas/callerRequest.js'
import type { ReleaseOutcome, ReservationFigures } from '../../schemas/datagram.js'
import type { ForwardedFields, ForwardingReply } from '../../schemas/forwarding.js'
import { addForwardedFields, splitForwardedHead } from '../forwarding/forwardingHeaders.js'
import type { ForwardingPeer } from '../forwarding/requestForwarder.js'
import type { ProxyContext } from './proxyContext.js'
import type { SelectedEndpoint } from './endpointSelector.js'

export interface AttemptTarget {
  /** Name under which the health of the target is kept. */
  readonly id: string
  readonly link: EndpointLink
  /** Returns names and values in turn; `lastEventId` is that of the last event that the caller has. */
  readonly encodeHeaders: (request: CallerRequest, timeLeftMs: number, lastEventId: number | undefined) => string[]
  /** Decodes the head of the response to a request that was sent at `sentAtMs`. */
  readonly decodeHead: (status: number, rawHeaders: readonly string[], sentAtMs: number) => ResponseHead
  /** Whether the target still accepts the request, asked when a connection to it is open. */
  readonly isAvailable: () => boolean
  /** Called once when the answer has begun. */
  readonly receiveBegun: () => void
  readonly release: (outcome: ReleaseOutcome, firstChunkMs: number, figures?: ReservationFigures) => void
}

/** Whether a response belongs to a request, by the request's id that endpoints repeat. */
export function isResponseTo ({ requestId }: CallerRequest, head: ResponseHead): boolean {
  return head.requestId === undefined || head.requestId === requestId
}

export type EndpointTargetContext = Pick<ProxyContext, 'clock' | 'encodeRequestHeaders' | 'decodeAnswerHead' | 'health' | 'noticeTask'>

/** Creates the target of an attempt that goes to an endpoint. */
export function createEndpointTarget (
  { clock, encodeRequestHeaders, decodeAnswerHead, health, noticeTask }: EndpointTargetContext,
  request: CallerRequest,
  { endpoint, link, version, priority, release }: SelectedEndpoint,
  { isAvailable, receiveBegun }: Pick<AttemptTarget, 'isAvailable' | 'receiveBegun'>
): AttemptTarget {
  return {
    id: endpoint.id,
    link,
    encodeHeaders: (sent, timeLeftMs, lastEventId) => encodeRequestHeaders(sent, { endpointId: endpoint.id, timeLeftMs, version, priority, lastEventId }),
    decodeHead: (status, rawHeaders, sentAtMs) => {
      const head = decodeAnswerHead(status, rawHeaders)
      noticeTask.receiveHead(endpoint, head, sentAtMs, isResponseTo(request, head))
      if (head.load) health.recordLoad(endpoint.id, head.load, clock.readMonotonic())
      return head
    },
    isAvailable,
    receiveBegun,
    release
  }
}

/** Another host's answer to a request whose time is up comes before this host has to answer itself. */
const replyMarginMs = 20

/** Creates the target of an attempt that goes through another host. `receiveReply` gets what the host says about the request. */
export function createPeerTarget (
  { encodeRequestHeaders, decodeAnswerHead }: Pick<ProxyContext, 'encodeRequestHeaders' | 'decodeAnswerHead'>,
  { row, link }: ForwardingPeer,
  fields: ForwardedFields,
  { isAvailable, receiveReply, receiveBegun }: Pick<AttemptTarget, 'isAvailable' | 'receiveBegun'> & { receiveReply: (reply: ForwardingReply) => void }
): AttemptTarget {
  return {
    id: `host ${row.session}`,
    link,
    encodeHeaders: (request, timeLeftMs, lastEventId) => addForwardedFields(encodeRequestHeaders(request, { endpointId: undefined, timeLeftMs: timeLeftMs - replyMarginMs, version: 0, priority: undefined, lastEventId }), fields),
    decodeHead: (status, rawHeaders) => {
      const { head, reply } = splitForwardedHead(decodeAnswerHead(status, rawHeaders))
      receiveReply(reply)
      return head
    },
    isAvailable,
    receiveBegun,
    release: () => {}
  }
}
