/** Requests reservations from the owners of endpoints and reports the outcome of each reservation to its owner. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { Datagrams } from '../../ports/datagrams.js'
import type { EngineLoad, RunningRequestsReport, HostMessage, EndpointLeaving, EndpointLimitStatement, ServedElsewhere, ReservationReply, ReservationRequest, ReservationRelease, ReservationFigures, ReleaseOutcome } from '../../schemas/datagram.js'

export interface ReservationClientOptions {
  clock: Clock
  datagrams: Datagrams
  ownAddress: string
  /** What this host knows of an endpoint's limit; undefined if the endpoint has named none. */
  findLimitStatement: (endpointId: string) => EndpointLimitStatement | undefined
  /** Delivers a message to this host's own allocators. */
  deliverLocally: (message: HostMessage) => void
}

/** A reservation request without its message fields. */
export type ReservationDetails = Omit<ReservationRequest, 'type' | 'id' | 'limit'>

export type ReservationOutcome =
  | { readonly kind: 'granted', readonly load: EngineLoad, readonly waitedMs: number, readonly version: number, readonly answerMs?: number | undefined, readonly reservation: Reservation }
  | {
    readonly kind: 'refused'
    readonly code: string
    readonly message: string
    readonly retryAfterMs: number
    /** Time until the request would start at this engine, in milliseconds; -1 if it would not start there. */
    readonly expectedMs: number
    readonly load: EngineLoad | undefined
    /** Another engine that served the adapter recently. */
    readonly elsewhere: string | undefined
  }
  /** The owner does not respond: its host is down or unreachable. */
  | { readonly kind: 'silent' }

/** A granted reservation; to be released exactly once. */
export interface Reservation {
  release: (outcome: ReleaseOutcome, firstChunkMs: number, figures?: ReservationFigures) => void
}

export interface PendingReservation {
  readonly outcome: Promise<ReservationOutcome>
  withdraw: () => void
}

/** Covers a round trip of 2 ms and one turn of the owner's event loop; a lost datagram delays the request by this much. */
const replyTimeoutMs = 40
/** Times that a request is sent without a reply before the owner counts as unresponsive. */
const maxRequestSends = 3
/** Added to the time until the grant that the owner expects; the grant itself may have been lost. */
const grantMarginMs = 60
/** Interval at which an unconfirmed release is sent again. */
const releaseRetryIntervalMs = 150
const maxReleaseSends = 8
/** Delay until the report of running requests is sent to a new owner a second time. */
const reportRepeatDelayMs = 120
/** Requests in one report of running requests; each takes some 60 bytes. */
const maxReportedRequests = 16

interface ClientReservation {
  request: ReservationRequest
  address: string
  sends: number
  /** Times that the request is sent without a reply. */
  maxSends: number
  timer: Timer | undefined
  settle: (outcome: ReservationOutcome) => void
}

interface UnconfirmedRelease {
  message: ReservationRelease
  address: string
  sends: number
}

export class ReservationClient {
  #options: ReservationClientOptions
  /** Requested reservations without an outcome yet, by id. */
  #pending = new Map<number, ClientReservation>()
  /** Releases that the owner has not confirmed, by reservation id. */
  #unconfirmedReleases = new Map<number, UnconfirmedRelease>()
  /** Reservations in use, by id, each with the address of the owner that counts it; empty if there is no owner. */
  #active = new Map<number, ClientReservation>()
  #nextId = 1
  #releaseRetryTimer: Timer | undefined

  constructor (options: ReservationClientOptions) {
    this.#options = options
  }

  /** Requests a reservation at an endpoint from the host at `address`, which owns it. */
  requestReservation (address: string, details: ReservationDetails, maxSends = maxRequestSends): PendingReservation {
    const id = this.#nextId++
    const reservation: ClientReservation = { request: { type: 'ask', id, ...details }, address, sends: 0, maxSends, timer: undefined, settle: () => {} }
    const outcome = new Promise<ReservationOutcome>(resolve => {
      reservation.settle = result => {
        reservation.timer?.cancel()
        this.#pending.delete(id)
        resolve(result)
      }
    })
    this.#pending.set(id, reservation)
    this.#sendRequest(reservation)
    return {
      outcome,
      withdraw: () => {
        if (!this.#pending.has(id)) return
        this.#release(reservation, 'withdrawn', -1)
        reservation.settle({ kind: 'silent' })
      }
    }
  }

  /** Makes a reservation without a grant and reports it to the endpoint's owner; `address` is empty if there is no owner. */
  reserveWithoutGrant (address: string, details: ReservationDetails): Reservation {
    const id = this.#nextId++
    const reservation: ClientReservation = { request: { type: 'ask', id, ...details }, address, sends: 0, maxSends: maxRequestSends, timer: undefined, settle: () => {} }
    this.#active.set(id, reservation)
    if (address !== '') this.#reportRunning(address, details.endpointId, [reservation])
    return this.#createReservation(reservation)
  }

  /** Handles a change of an endpoint's owner: the new owner, if there is one, gets a report of the requests that run there. */
  receiveOwnerChange (endpointId: string, address: string): void {
    const moved = [...this.#active.values()].filter(reservation => reservation.request.endpointId === endpointId && reservation.address !== address)
    for (const reservation of moved) reservation.address = address
    if (address === '' || moved.length === 0) return
    this.#reportRunning(address, endpointId, moved)
    // Sent a second time, because a datagram may be lost.
    this.#options.clock.setTimer(() => {
      this.#reportRunning(address, endpointId, moved.filter(reservation => reservation.address === address && this.#active.has(reservation.request.id)))
    }, reportRepeatDelayMs)
  }

  /** Notifies the owner of an adapter's preferred engine which engine got a request. The message may be lost without harm. */
  notifyServedElsewhere (address: string, servedElsewhere: ServedElsewhere): void {
    this.#send(address, servedElsewhere)
  }

  /** Notifies the owner of an engine that it is leaving. If the message is lost, a later endpoint notice sends another. */
  notifyLeaving (address: string, leaving: EndpointLeaving): void {
    this.#send(address, leaving)
  }

  /** Withdraws all pending reservation requests at an endpoint, so that their requests select another endpoint. */
  withdrawPending (endpointId: string, message: string): void {
    for (const reservation of [...this.#pending.values()]) {
      if (reservation.request.endpointId !== endpointId) continue
      this.#release(reservation, 'withdrawn', -1)
      reservation.settle({ kind: 'refused', code: 'endpoint_leaving', message, retryAfterMs: 0, expectedMs: -1, load: undefined, elsewhere: undefined })
    }
  }

  receiveReply (reply: ReservationReply): void {
    const reservation = this.#pending.get(reply.id)
    if (!reservation) return
    if (reply.type === 'queued') {
      reservation.sends = 0
      this.#startReplyTimer(reservation, reply.expectedMs + grantMarginMs)
    } else if (reply.type === 'grant') {
      this.#active.set(reservation.request.id, reservation)
      reservation.settle({ kind: 'granted', load: reply.load, waitedMs: reply.waitedMs, version: reply.version, answerMs: reply.answerMs, reservation: this.#createReservation(reservation) })
    } else {
      const { code, message, retryAfterMs, expectedMs, load, elsewhere } = reply
      reservation.settle({ kind: 'refused', code, message, retryAfterMs, expectedMs, load, elsewhere })
    }
  }

  receiveConfirmation (ids: readonly number[]): void {
    for (const id of ids) this.#unconfirmedReleases.delete(id)
  }

  stop (): void {
    this.#releaseRetryTimer?.cancel()
    for (const reservation of [...this.#pending.values()]) reservation.settle({ kind: 'silent' })
  }

  #sendRequest (reservation: ClientReservation): void {
    reservation.sends++
    const limit = this.#options.findLimitStatement(reservation.request.endpointId)
    this.#send(reservation.address, limit ? { ...reservation.request, limit } : reservation.request)
    if (this.#pending.has(reservation.request.id)) this.#startReplyTimer(reservation, replyTimeoutMs)
  }

  /** Waits for a reply; then sends the request again or, after the last send, gives it up as unanswered. */
  #startReplyTimer (reservation: ClientReservation, delayMs: number): void {
    reservation.timer?.cancel()
    reservation.timer = this.#options.clock.setTimer(() => {
      if (reservation.sends < reservation.maxSends) this.#sendRequest(reservation)
      else {
        this.#release(reservation, 'withdrawn', -1)
        reservation.settle({ kind: 'silent' })
      }
    }, delayMs)
  }

  #createReservation (reservation: ClientReservation): Reservation {
    return { release: (outcome, firstChunkMs, figures) => this.#release(reservation, outcome, firstChunkMs, figures) }
  }

  #reportRunning (address: string, endpointId: string, reservations: readonly ClientReservation[]): void {
    for (let start = 0; start < reservations.length; start += maxReportedRequests) {
      const runningRequests: RunningRequestsReport['places'] = reservations.slice(start, start + maxReportedRequests)
        .map(({ request: { id, model, adapter, version, leavesInMs } }) => ({ id, model, adapter, version, leavesInMs }))
      this.#send(address, { type: 'held', endpointId, places: runningRequests })
    }
  }

  #release ({ request, address }: ClientReservation, outcome: ReleaseOutcome, firstChunkMs: number, figures?: ReservationFigures): void {
    this.#active.delete(request.id)
    if (address === '') return
    const message: ReservationRelease = { type: 'done', id: request.id, endpointId: request.endpointId, outcome, firstPartMs: firstChunkMs, ...figures }
    if (address !== this.#options.ownAddress) {
      this.#unconfirmedReleases.set(request.id, { message, address, sends: 1 })
      this.#releaseRetryTimer ??= this.#options.clock.setTimer(() => this.#resendReleases(), releaseRetryIntervalMs)
    }
    this.#send(address, message)
  }

  #resendReleases (): void {
    this.#releaseRetryTimer = undefined
    for (const [id, release] of this.#unconfirmedReleases) {
      if (++release.sends > maxReleaseSends) this.#unconfirmedReleases.delete(id)
      else this.#send(release.address, release.message)
    }
    if (this.#unconfirmedReleases.size > 0) this.#releaseRetryTimer = this.#options.clock.setTimer(() => this.#resendReleases(), releaseRetryIntervalMs)
  }

  #send (address: string, message: HostMessage): void {
    if (address === this.#options.ownAddress) this.#options.deliverLocally(message)
    else this.#options.datagrams.send(address, message)
  }
}
