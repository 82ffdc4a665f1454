/** Shares the weight store's load budget between all schedulers without a coordinator; see docs/design/store-budget.md. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import type { EndpointOwner } from '../ownership/endpointOwnership.js'
import { PermitGranter } from './permitGranter.js'

const log = createLog('permits')
const updateIntervalMs = 250
/** A waiting request is sent again after this time, because its granter may have changed. */
const resendIntervalMs = 3000
/** A new granter waits this long; loads that the former granter allowed usually end within it. */
const granterChangeDelayMs = 2000

export interface PermitTaskOptions {
  clock: Clock
  hostId: string
  /** Limits of the weight store for all hosts together. */
  budget: { loadsPerSecond: number, loadsAtFullSpeed: number }
  /** Lists the owners of the endpoints, ordered by endpoint name. */
  listOwners: () => EndpointOwner[]
  send: (hostId: string, message: PeerMessage) => void
}

interface WaitingRequest {
  endpointId: string
  /** Time at which the load is needed, by the monotonic clock. */
  neededAtMs: number
  /** Host that was sent a request, by permit. */
  requestedHostIds: Array<string | undefined>
  sentAtMs: number
  resolve: (release: () => void) => void
}

/** A permit under which a load runs. */
interface HeldPermit {
  endpointId: string
  permit: number
  /** Every granter that counts this permit as held; the current one is last. */
  granterHostIds: string[]
}

type PermitMessage = PeerMessageOf<'permitRequest'> | PeerMessageOf<'permitGrant'> | PeerMessageOf<'permitRelease'>

/** State of permits in a dump. */
export interface PermitState {
  waitingLoads: number
  granters: Array<{ permit: number, waiting: number, granted: number }>
}

/** There are as many permits as loads that run at full speed; the owner of the n-th endpoint grants the n-th permit. */
export class PermitTask {
  #options: PermitTaskOptions
  #granters = new Map<number, PermitGranter>()
  #waiting = new Map<string, WaitingRequest>()
  #held = new Map<string, HeldPermit>()
  #lastRequestId = 0
  #updates: Repetition | undefined

  constructor (options: PermitTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#updates = repeatTask(this.#options.clock, updateIntervalMs, async () => this.#updateGranters(), () => {})
  }

  stop (): void {
    this.#updates?.stop()
    for (const granter of this.#granters.values()) granter.stop()
    this.#granters.clear()
  }

  /** Returns the number of this host's loads that wait for a permit, and the state of the permits that this host grants. */
  describeState (): PermitState {
    const granters = [...this.#granters].map(([permit, granter]) => ({ permit, ...granter.describeState() }))
    return { waitingLoads: this.#waiting.size, granters }
  }

  /** Resolves when a load may start, with a function that releases the permit. */
  async requestPermit (endpointId: string, slackMs: number): Promise<() => void> {
    const permitRequestId = String(++this.#lastRequestId)
    const neededAtMs = this.#options.clock.readMonotonic() + slackMs
    return await new Promise(resolve => {
      const request: WaitingRequest = { endpointId, neededAtMs, requestedHostIds: [], sentAtMs: -Infinity, resolve }
      this.#waiting.set(permitRequestId, request)
      this.#sendRequests(permitRequestId, request)
    })
  }

  /** Handles a message from a peer or from this host itself. */
  receiveMessage (hostId: string, message: PermitMessage): void {
    if (message.type === 'permitGrant') this.#receiveGrant(hostId, message)
    else if (message.type === 'permitRequest') this.#receiveRequest(hostId, message)
    else this.#granters.get(message.permit)?.receiveRelease(hostId, message.permitRequestId)
  }

  /** The connection to a host has closed. */
  receiveClosed (hostId: string): void {
    for (const granter of this.#granters.values()) granter.receiveClosed(hostId)
    for (const { requestedHostIds } of this.#waiting.values()) {
      requestedHostIds.forEach((requestedHostId, permit) => { if (requestedHostId === hostId) requestedHostIds[permit] = undefined })
    }
  }

  /** Updates the granter first, so that a request is not lost if this host has not noticed yet that it grants the permit. */
  #receiveRequest (hostId: string, request: PeerMessageOf<'permitRequest'>): void {
    this.#updateGranter(request.permit, this.#listGranters()[request.permit])
    this.#granters.get(request.permit)?.receiveRequest(hostId, request)
  }

  #updateGranters (): void {
    this.#listGranters().forEach((owner, permit) => this.#updateGranter(permit, owner))
    for (const [permitRequestId, held] of this.#held) this.#announceHeld(permitRequestId, held)
    for (const [permitRequestId, request] of this.#waiting) this.#sendRequests(permitRequestId, request)
  }

  /** Reports a held permit to a new granter, so that it counts the loads that run under its permit. */
  #announceHeld (permitRequestId: string, { endpointId, permit, granterHostIds }: HeldPermit): void {
    const hostId = this.#listGranters()[permit]?.hostId
    if (hostId === undefined || hostId === granterHostIds.at(-1)) return
    granterHostIds.push(hostId)
    this.#send(hostId, { type: 'permitRequest', permit, permitRequestId, endpointId, slackMs: 0, isHeld: true })
  }

  #updateGranter (permit: number, owner: EndpointOwner | undefined): void {
    const isOwn = owner?.hostId === this.#options.hostId
    const granter = this.#granters.get(permit)
    if (granter && !isOwn) {
      granter.stop()
      this.#granters.delete(permit)
      log('This host no longer grants permit %d of the weight store.', permit)
    } else if (!granter && isOwn) {
      const { clock, budget } = this.#options
      log('This host now grants permit %d of the weight store, as the owner of endpoint "%s".', permit, owner.endpointId)
      this.#granters.set(permit, new PermitGranter({
        clock,
        permit,
        loadsPerSecond: budget.loadsPerSecond / budget.loadsAtFullSpeed,
        startDelayMs: owner.fencing > 1 ? granterChangeDelayMs : 0,
        sendGrant: (hostId, grant) => this.#send(hostId, grant)
      }))
    }
  }

  /** Lists the granter of each permit. */
  #listGranters (): Array<EndpointOwner | undefined> {
    const owners = this.#options.listOwners()
    return Array.from({ length: this.#options.budget.loadsAtFullSpeed }, (_, permit) => owners[permit % Math.max(1, owners.length)])
  }

  /** Sends a request to the granter of every permit; the first grant is used and the other requests are released. */
  #sendRequests (permitRequestId: string, request: WaitingRequest): void {
    const nowMs = this.#options.clock.readMonotonic()
    const isDue = nowMs - request.sentAtMs >= resendIntervalMs
    if (isDue) request.sentAtMs = nowMs
    this.#listGranters().forEach((granter, permit) => {
      const hostId = granter?.hostId
      if (hostId === undefined || (!isDue && request.requestedHostIds[permit] === hostId)) return
      request.requestedHostIds[permit] = hostId
      const { endpointId, neededAtMs } = request
      this.#send(hostId, { type: 'permitRequest', permit, permitRequestId, endpointId, slackMs: neededAtMs - nowMs })
    })
  }

  #receiveGrant (hostId: string, { permit, permitRequestId }: PeerMessageOf<'permitGrant'>): void {
    const request = this.#waiting.get(permitRequestId)
    const release = (granter: string, index: number): void =>
      this.#send(granter, { type: 'permitRelease', permit: index, permitRequestId })
    if (!request) {
      release(hostId, permit)
      return
    }
    this.#waiting.delete(permitRequestId)
    request.requestedHostIds.forEach((requestedHostId, index) => { if (requestedHostId !== undefined && index !== permit) release(requestedHostId, index) })
    const held: HeldPermit = { endpointId: request.endpointId, permit, granterHostIds: [hostId] }
    this.#held.set(permitRequestId, held)
    request.resolve(() => {
      this.#held.delete(permitRequestId)
      for (const granter of new Set(held.granterHostIds)) release(granter, permit)
    })
  }

  #send (hostId: string, message: PermitMessage): void {
    if (hostId === this.#options.hostId) queueMicrotask(() => this.receiveMessage(hostId, message))
    else this.#options.send(hostId, message)
  }
}
