/** Sends this host's decisions to subscribed hosts at a limited rate. */
import type { DecisionFilter } from '../../core/decisionFilter.js'
import { isDecisionSelected } from '../../core/decisionFilter.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Decision } from '../../schemas/decision.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'

const sendIntervalMs = 100
/** Limit for one subscription in one interval; further decisions are only counted as missed. */
const maxDecisionsPerInterval = 20
/** A subscription expires if it is not renewed within this time. */
const subscriptionTtlMs = 15_000

export type SendDecisions = (message: PeerMessageOf<'decisions'>) => void

interface Subscription {
  filter: DecisionFilter
  expiresAtMs: number
  pending: Decision[]
  missed: number
}

/** Decision subscriptions of other hosts. A subscriber is identified by its `send` function. */
export class DecisionFeed {
  #clock: Clock
  #subscriptions = new Map<SendDecisions, Subscription>()
  #timer: Timer | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get watcherCount (): number {
    return this.#subscriptions.size
  }

  /** Starts or renews a subscription; the new filter replaces the previous one. */
  addSubscription (send: SendDecisions, filter: DecisionFilter): void {
    const expiresAtMs = this.#clock.readMonotonic() + subscriptionTtlMs
    const existing = this.#subscriptions.get(send)
    if (existing) Object.assign(existing, { filter, expiresAtMs })
    else this.#subscriptions.set(send, { filter, expiresAtMs, pending: [], missed: 0 })
  }

  removeSubscription (send: SendDecisions): void {
    this.#subscriptions.delete(send)
  }

  /** Queues a decision for every subscription whose filter selects it. */
  receiveDecision (decision: Decision): void {
    for (const subscription of this.#subscriptions.values()) {
      if (!isDecisionSelected(subscription.filter, decision)) continue
      if (subscription.pending.length < maxDecisionsPerInterval) subscription.pending.push(decision)
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
      else if (subscription.pending.length > 0) sendPendingDecisions(send, subscription)
    }
  }
}

function sendPendingDecisions (send: SendDecisions, subscription: Subscription): void {
  const { pending, missed } = subscription
  subscription.pending = []
  subscription.missed = 0
  send({ type: 'decisions', decisions: pending, missed })
}
