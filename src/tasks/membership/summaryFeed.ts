/** Tells gateways of a scheduler's endpoints: at once what matters, in turn what drifts, and little when nothing happens. */
import { applyChanges, createChanges } from '../../core/endpointChanges.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EndpointSummary, PeerMessage } from '../../schemas/peerMessage.js'

/** Figures such as queue lengths go out this often while requests come in. */
const busyIntervalMs = 750
/** A heartbeat shows that the scheduler lives. */
const idleIntervalMs = 2000
/** Changes within this time travel in one message. */
const changeDelayMs = 5

export interface SummaryFeedOptions {
  clock: Clock
  hostId: string
  readSummaries: () => EndpointSummary[]
  isLeaving: () => boolean
  sendGateways: (message: PeerMessage) => void
}

export class SummaryFeed {
  #options: SummaryFeedOptions
  /** What every gateway has been told. */
  #told: EndpointSummary[] = []
  #wasBusy = false
  #sentAtMs = -Infinity
  #timer: Timer | undefined
  #change: Timer | undefined

  constructor (options: SummaryFeedOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.setTimer(() => this.#runTurn(), busyIntervalMs)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#change?.cancel()
  }

  /** Tells a gateway that has just opened its link everything. */
  sendAll (send: (message: PeerMessage) => void): void {
    // The others are brought to the same state, so that later changes hold for all.
    this.sendChanges()
    const { hostId, isLeaving } = this.#options
    send({ type: 'endpointSummaries', hostId, isLeaving: isLeaving(), endpoints: this.#told })
  }

  /** A request has come in: gateways count what they sent until the next message. */
  recordDispatch (): void {
    this.#wasBusy = true
  }

  /** Something has changed that gateways should know soon. */
  receiveChange (): void {
    this.#change ??= this.#options.clock.setTimer(() => {
      this.#change = undefined
      this.sendChanges()
    }, changeDelayMs)
  }

  /** Tells every gateway what has changed, or that nothing has. */
  sendChanges (): void {
    const { clock, isLeaving, readSummaries, sendGateways } = this.#options
    const changes = createChanges(this.#told, readSummaries())
    this.#told = applyChanges(this.#told, changes)
    this.#wasBusy = false
    this.#sentAtMs = clock.readMonotonic()
    sendGateways({ type: 'endpointChanges', ...changes, ...(isLeaving() && { isLeaving: true }) })
  }

  #runTurn (): void {
    if (this.#wasBusy || this.#options.clock.readMonotonic() - this.#sentAtMs >= idleIntervalMs) this.sendChanges()
    this.start()
  }
}
