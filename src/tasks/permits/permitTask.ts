/** Shares the weight store's budget between all schedulers without a coordinator; see docs/design/store-budget.md. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import type { EndpointOwner } from '../ownership/ownership.js'
import { PermitGranter } from './permitGranter.js'

const log = createLog('permits')
const grantersIntervalMs = 250
/** A request that still waits is sent again after this time, as its granter may have changed. */
const askIntervalMs = 3000
/** Loads that an earlier granter allowed end within this time, as a rule. */
const changeHoldMs = 2000

export interface PermitTaskOptions {
  clock: Clock
  hostId: string
  /** What the weight store allows all hosts together. */
  budget: { loadsPerSecond: number, loadsAtFullSpeed: number }
  /** Owners of the endpoints in order of the endpoints' names. */
  listOwners: () => EndpointOwner[]
  send: (hostId: string, message: PeerMessage) => void
}

interface WaitingRequest {
  endpointId: string
  /** When the load is needed. */
  neededAtMs: number
  /** Granter that was asked for each permit. */
  askedHosts: Array<string | undefined>
  askedAtMs: number
  resolve: (release: () => void) => void
}

/** A permit under which a load runs. */
interface HeldPermit {
  endpointId: string
  permit: number
  /** Every granter that counts it; the latest is last. */
  granters: string[]
}

type PermitMessage = PeerMessageOf<'permitRequest'> | PeerMessageOf<'permitGrant'> | PeerMessageOf<'permitRelease'>

/** What a dump tells of permits. */
export interface PermitState {
  waitingLoads: number
  granters: Array<{ permit: number, waiting: number, granted: number }>
}

/** There are as many permits as loads at full speed; the owner of the n-th endpoint grants the n-th permit. */
export class PermitTask {
  #options: PermitTaskOptions
  #granters = new Map<number, PermitGranter>()
  #waiting = new Map<string, WaitingRequest>()
  #held = new Map<string, HeldPermit>()
  #sequence = 0
  #repetition: Repetition | undefined

  constructor (options: PermitTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, grantersIntervalMs, async () => this.#updateGranters(), () => {})
  }

  stop (): void {
    this.#repetition?.stop()
    for (const granter of this.#granters.values()) granter.stop()
    this.#granters.clear()
  }

  /** Describes the loads of this host that wait for a permit, and the permits that it grants. */
  describeState (): PermitState {
    const granters = [...this.#granters].map(([permit, granter]) => ({ permit, ...granter.describeState() }))
    return { waitingLoads: this.#waiting.size, granters }
  }

  /** Resolves, when a load may start, to the function that gives the permit back. */
  async requestPermit (endpointId: string, slackMs: number): Promise<() => void> {
    const permitRequestId = String(++this.#sequence)
    const neededAtMs = this.#options.clock.readMonotonic() + slackMs
    return await new Promise(resolve => {
      const request: WaitingRequest = { endpointId, neededAtMs, askedHosts: [], askedAtMs: -Infinity, resolve }
      this.#waiting.set(permitRequestId, request)
      this.#ask(permitRequestId, request)
    })
  }

  /** Takes a message of a peer, or of this host to itself. */
  receiveMessage (hostId: string, message: PermitMessage): void {
    if (message.type === 'permitGrant') this.#receiveGrant(hostId, message)
    else if (message.type === 'permitRequest') this.#receiveRequest(hostId, message)
    else this.#granters.get(message.permit)?.receiveRelease(hostId, message.permitRequestId)
  }

  /** The link to a host has closed. */
  receiveClosed (hostId: string): void {
    for (const granter of this.#granters.values()) granter.receiveClosed(hostId)
    for (const { askedHosts } of this.#waiting.values()) {
      askedHosts.forEach((asked, permit) => { if (asked === hostId) askedHosts[permit] = undefined })
    }
  }

  /** A request that comes before this host has taken note of its part is not lost. */
  #receiveRequest (hostId: string, request: PeerMessageOf<'permitRequest'>): void {
    this.#updateGranter(request.permit, this.#listGranters()[request.permit])
    this.#granters.get(request.permit)?.receiveRequest(hostId, request)
  }

  #updateGranters (): void {
    this.#listGranters().forEach((owner, permit) => this.#updateGranter(permit, owner))
    for (const [permitRequestId, held] of this.#held) this.#announceHeld(permitRequestId, held)
    for (const [permitRequestId, request] of this.#waiting) this.#ask(permitRequestId, request)
  }

  /** A granter that follows another counts the loads that run under its permit. */
  #announceHeld (permitRequestId: string, { endpointId, permit, granters }: HeldPermit): void {
    const hostId = this.#listGranters()[permit]?.hostId
    if (hostId === undefined || hostId === granters.at(-1)) return
    granters.push(hostId)
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
      log('This host grants permit %d of the weight store now, as the owner of endpoint "%s".', permit, owner.endpointId)
      this.#granters.set(permit, new PermitGranter({
        clock,
        permit,
        loadsPerSecond: budget.loadsPerSecond / budget.loadsAtFullSpeed,
        holdMs: owner.fencing > 1 ? changeHoldMs : 0,
        sendGrant: (hostId, grant) => this.#send(hostId, grant)
      }))
    }
  }

  /** Lists the granter of each permit. */
  #listGranters (): Array<EndpointOwner | undefined> {
    const owners = this.#options.listOwners()
    return Array.from({ length: this.#options.budget.loadsAtFullSpeed }, (_, permit) => owners[permit % Math.max(1, owners.length)])
  }

  /** Queues a request with every granter; the first grant counts. */
  #ask (permitRequestId: string, request: WaitingRequest): void {
    const nowMs = this.#options.clock.readMonotonic()
    const isRepeated = nowMs - request.askedAtMs >= askIntervalMs
    if (isRepeated) request.askedAtMs = nowMs
    this.#listGranters().forEach((granter, permit) => {
      const hostId = granter?.hostId
      if (hostId === undefined || (!isRepeated && request.askedHosts[permit] === hostId)) return
      request.askedHosts[permit] = hostId
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
    request.askedHosts.forEach((asked, index) => { if (asked !== undefined && index !== permit) release(asked, index) })
    const held: HeldPermit = { endpointId: request.endpointId, permit, granters: [hostId] }
    this.#held.set(permitRequestId, held)
    request.resolve(() => {
      this.#held.delete(permitRequestId)
      for (const granter of new Set(held.granters)) release(granter, permit)
    })
  }

  #send (hostId: string, message: PermitMessage): void {
    if (hostId === this.#options.hostId) queueMicrotask(() => this.receiveMessage(hostId, message))
    else this.#options.send(hostId, message)
  }
}
