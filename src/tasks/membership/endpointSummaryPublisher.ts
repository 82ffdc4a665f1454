/** Publishes a scheduler's endpoint summaries to gateways: important changes at once, other figures at intervals, else heartbeats. */
import { applyEndpointChanges, computeEndpointChanges } from '../../core/endpointChanges.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EndpointSummary, PeerMessage } from '../../schemas/peerMessage.js'

/** Interval of figures such as queue lengths while requests arrive. */
const busyIntervalMs = 750
/** Interval of heartbeats, which show that the scheduler is alive. */
const heartbeatIntervalMs = 2000
/** Changes within this time are sent in one message. */
const batchDelayMs = 5

export interface EndpointSummaryPublisherOptions {
  clock: Clock
  hostId: string
  getSummaries: () => EndpointSummary[]
  isLeaving: () => boolean
  sendToGateways: (message: PeerMessage) => void
}

export class EndpointSummaryPublisher {
  #options: EndpointSummaryPublisherOptions
  /** The summaries as last published to every gateway. */
  #published: EndpointSummary[] = []
  #hasDispatched = false
  #lastSentAtMs = -Infinity
  #timer: Timer | undefined
  #changeTimer: Timer | undefined

  constructor (options: EndpointSummaryPublisherOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.setTimer(() => this.#runInterval(), busyIntervalMs)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#changeTimer?.cancel()
  }

  /** Sends all summaries to a gateway that has just opened its link. */
  sendSnapshot (send: (message: PeerMessage) => void): void {
    // Brings the other gateways to the same state first, so that later changes apply to all of them.
    this.sendChanges()
    const { hostId, isLeaving } = this.#options
    send({ type: 'endpointSummaries', hostId, isLeaving: isLeaving(), endpoints: this.#published })
  }

  /** Records that a request has arrived. Gateways estimate with what they sent since the last message, so the next one is due soon. */
  recordDispatch (): void {
    this.#hasDispatched = true
  }

  /** Schedules a message for a change that gateways should know soon. */
  scheduleChanges (): void {
    this.#changeTimer ??= this.#options.clock.setTimer(() => {
      this.#changeTimer = undefined
      this.sendChanges()
    }, batchDelayMs)
  }

  /** Sends the changes since the last message to every gateway; without any it is a heartbeat. */
  sendChanges (): void {
    const { clock, isLeaving, getSummaries, sendToGateways } = this.#options
    const changes = computeEndpointChanges(this.#published, getSummaries())
    this.#published = applyEndpointChanges(this.#published, changes)
    this.#hasDispatched = false
    this.#lastSentAtMs = clock.readMonotonic()
    sendToGateways({ type: 'endpointChanges', ...changes, ...(isLeaving() && { isLeaving: true }) })
  }

  #runInterval (): void {
    if (this.#hasDispatched || this.#options.clock.readMonotonic() - this.#lastSentAtMs >= heartbeatIntervalMs) this.sendChanges()
    this.start()
  }
}
