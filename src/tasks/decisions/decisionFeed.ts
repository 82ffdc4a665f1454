/** Sends the decisions of this host to hosts that watch, while they watch, at a bounded rate. */
import type { DecisionFilter } from '../../core/decisionFilter.js'
import { isDecisionSelected } from '../../core/decisionFilter.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Decision } from '../../schemas/decision.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'

const sendIntervalMs = 100
/** Of more decisions than this in one interval, the rest is counted as missed. */
const maxPerInterval = 20
/** A subscription that is not renewed ends after this time. */
const subscriptionTermMs = 15_000

export type SendDecisions = (message: PeerMessageOf<'decisions'>) => void

interface Subscription {
  filter: DecisionFilter
  expiresAtMs: number
  pending: Decision[]
  missed: number
}

/** Subscribers are told apart by their function. */
export class DecisionFeed {
  #clock: Clock
  #subscriptions = new Map<SendDecisions, Subscription>()
  #timer: Timer | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get watchers (): number {
    return this.#subscriptions.size
  }

  /** Starts or renews a subscription; a later filter takes the place of an earlier one. */
  addSubscription (send: SendDecisions, filter: DecisionFilter): void {
    const expiresAtMs = this.#clock.readMonotonic() + subscriptionTermMs
    const known = this.#subscriptions.get(send)
    if (known) Object.assign(known, { filter, expiresAtMs })
    else this.#subscriptions.set(send, { filter, expiresAtMs, pending: [], missed: 0 })
  }

  removeSubscription (send: SendDecisions): void {
    this.#subscriptions.delete(send)
  }

  receiveDecision (decision: Decision): void {
    for (const subscription of this.#subscriptions.values()) {
      if (!isDecisionSelected(subscription.filter, decision)) continue
      if (subscription.pending.length < maxPerInterval) subscription.pending.push(decision)
      else subscription.missed++
      this.#timer ??= this.#clock.setTimer(() => this.#sendPending(), sendIntervalMs)
    }
  }

  stop (): void {
    this.#timer?.cancel()
    this.#subscriptions.clear()
  }

  #sendPending (): void {
    this.#timer = undefined
    const nowMs = this.#clock.readMonotonic()
    for (const [send, subscription] of this.#subscriptions) {
      if (subscription.expiresAtMs <= nowMs) this.#subscriptions.delete(send)
      else if (subscription.pending.length > 0) sendSubscription(send, subscription)
    }
  }
}

function sendSubscription (send: SendDecisions, subscription: Subscription): void {
  const { pending, missed } = subscription
  subscription.pending = []
  subscription.missed = 0
  send({ type: 'decisions', decisions: pending, missed })
}
