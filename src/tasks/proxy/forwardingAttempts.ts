/** The attempts of one request that go through other hosts, while this one reaches no endpoint of its service. */
import type { AttemptFailure } from '../../core/retryRules.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { ForwardedFields, ForwardingReply } from '../../schemas/forwarding.js'
import type { ForwardingPeer } from '../forwarding/requestForwarder.js'
import { createPeerTarget } from './attemptTarget.js'
import type { AttemptTarget } from './attemptTarget.js'
import type { ProxyContext } from './proxyContext.js'

/** Hosts that are asked to serve a request, one after the other. */
const maxPeers = 4

/**
 * What follows from a failed attempt: `elsewhere` if another host may serve the request, `final` if the one that was asked has
 * refused it or has tried all that the route allows.
 */
export type ForwardingVerdict = 'elsewhere' | 'final'

export class ForwardingAttempts {
  #context: ProxyContext
  #request: CallerRequest
  #triedSessions: string[] = []
  #hosts: string[] = []
  #reply: ForwardingReply = {}
  /** Whether the last host has sent the head of a response. */
  #hasHead = false

  constructor (context: ProxyContext, request: CallerRequest) {
    this.#context = context
    this.#request = request
  }

  /** Names of the hosts that the request was sent to, in order. */
  get hosts (): readonly string[] {
    return this.#hosts
  }

  /** Software version of the endpoint that has begun the answer, as the last host told. */
  get softwareVersion (): string | undefined {
    return this.#reply.softwareVersion
  }

  /** Selects the next host; undefined if none is left, or if another host has sent the request here. */
  selectPeer (): ForwardingPeer | undefined {
    if (this.#request.forwarded || this.#hosts.length >= maxPeers) return undefined
    return this.#context.forwarder.selectPeer(this.#triedSessions)
  }

  createTarget (peer: ForwardingPeer, fields: ForwardedFields, callbacks: Pick<AttemptTarget, 'isAvailable' | 'receiveBegun'>): AttemptTarget {
    this.#hosts.push(peer.row.host)
    this.#reply = {}
    this.#hasHead = false
    return createPeerTarget(this.#context, peer, fields, {
      ...callbacks,
      receiveReply: reply => {
        this.#reply = reply
        this.#hasHead = true
      }
    })
  }

  /** Records that an attempt through a host has failed. */
  recordFailure (peer: ForwardingPeer, failure: AttemptFailure): ForwardingVerdict {
    const { forwarder } = this.#context
    const isRefused = failure.verdict === 'notRun' && this.#reply.verdict === 'notRun'
    const isAnswered = failure.verdict !== 'notRun' && failure.status !== undefined
    if (isRefused || isAnswered) {
      forwarder.recordResponse(peer)
      return 'final'
    }
    // A host that breaks off a response it has begun may only pass on what its endpoint did.
    if (failure.verdict === 'notRun' || !this.#hasHead) forwarder.recordFailure(peer)
    this.#triedSessions.push(peer.row.session)
    return 'elsewhere'
  }
}
