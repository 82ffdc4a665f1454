/** Orders the queues whose adapter is not loaded: urgent ones by time, then deferrable ones with enough work for a load. */
import { BinaryHeap } from './binaryHeap.js'
import type { AdapterQueue, AdapterLoadNeed, WaitingRequest } from './waitingRequests.js'

/** A load for work that is already late counts as needed this long from now, in milliseconds. */
const lateLoadDelayMs = 60_000

export interface AdapterLoadNeedsOptions {
  /** Number of deferrable requests of one adapter that justify a load at once. */
  deferrableLoadThreshold: number
  /** How long a deferrable request is delayed to be batched with others of its adapter, from its slack; in milliseconds. */
  computeBatchingDelayMs: (slackMs: number) => number
  /** A deferrable request becomes urgent when its latest start is closer than this, in milliseconds. */
  getCriticalWindowMs: () => number
  /** Whether deferrable work can no longer meet its target. */
  isLate: (latestStartMs: number, nowMs: number) => boolean
  /** When a load of the adapter may be tried again. */
  findRetryMs: (name: string) => number
}

export class AdapterLoadNeeds {
  #options: AdapterLoadNeedsOptions
  #urgent = createHeap()
  #eligible = createHeap()
  #byStageChange = new BinaryHeap<AdapterLoadNeed>((left, right) => left.stageChangeAtMs < right.stageChangeAtMs)

  constructor (options: AdapterLoadNeedsOptions) {
    this.#options = options
  }

  /** The load that urgent work needs first. */
  get firstUrgent (): AdapterLoadNeed | undefined {
    return findFirst(this.#urgent)
  }

  /** The load in stage `ripe` that is needed first: for deferrable work, planned only while no urgent load needs the slot. */
  get firstEligible (): AdapterLoadNeed | undefined {
    return findFirst(this.#eligible)
  }

  /** The next time at which a queue changes its stage; undefined if no queue has such a time. */
  findNextStageChangeMs (): number | undefined {
    return findFirst(this.#byStageChange)?.stageChangeAtMs
  }

  /** Recomputes the load need of a queue after its requests have changed. */
  update (queue: AdapterQueue, nowMs: number): void {
    const need = this.#createNeed(queue, nowMs)
    const before = queue.loadNeed
    if (need && before && need.stage === before.stage && need.neededAtMs === before.neededAtMs && need.stageChangeAtMs === before.stageChangeAtMs) return
    queue.loadNeed = need
    if (!need) return
    if (need.stage === 'urgent') this.#urgent.add(need)
    if (need.stage === 'ripe') this.#eligible.add(need)
    if (Number.isFinite(need.stageChangeAtMs)) this.#byStageChange.add(need)
  }

  /** Removes the load need of a queue, because its load is planned or done, or the queue is empty. */
  remove (queue: AdapterQueue): void {
    queue.loadNeed = undefined
  }

  /** Recomputes the stage of the queues whose stage change is due. */
  updateDueStages (nowMs: number): void {
    for (let need = findFirst(this.#byStageChange); need && need.stageChangeAtMs <= nowMs; need = findFirst(this.#byStageChange)) {
      this.#byStageChange.removeFirst()
      need.queue.loadNeed = undefined
      this.update(need.queue, nowMs)
    }
  }

  #createNeed (queue: AdapterQueue, nowMs: number): AdapterLoadNeed | undefined {
    const urgent = queue.firstUrgent
    queue.moveLateRequests(waiting => this.#options.isLate(waiting.latestStartMs, nowMs))
    const deferrable = queue.firstDeferrable
    const neededAtMs = Math.min(urgent?.sortKeyMs ?? Infinity, queue.firstOnTime?.latestStartMs ?? deferrable?.latestStartMs ?? Infinity)
    if (!Number.isFinite(neededAtMs)) return undefined
    const retryAtMs = this.#options.findRetryMs(queue.name)
    if (retryAtMs > nowMs) return { queue, stage: 'held', neededAtMs, stageChangeAtMs: retryAtMs }
    if (urgent) return { queue, stage: 'urgent', neededAtMs, stageChangeAtMs: Infinity }
    return this.#createDeferrableNeed(queue, deferrable!, nowMs)
  }

  #createDeferrableNeed (queue: AdapterQueue, first: WaitingRequest, nowMs: number): AdapterLoadNeed {
    const { deferrableLoadThreshold, computeBatchingDelayMs, getCriticalWindowMs, isLate } = this.#options
    // The target is missed in any case, so this load must not delay others: it is ordered after all that are needed soon.
    if (isLate(first.latestStartMs, nowMs)) return { queue, stage: 'ripe', neededAtMs: nowMs + lateLoadDelayMs, stageChangeAtMs: Infinity }
    const neededAtMs = first.latestStartMs
    const criticalAtMs = neededAtMs - getCriticalWindowMs()
    if (criticalAtMs <= nowMs) return { queue, stage: 'urgent', neededAtMs, stageChangeAtMs: neededAtMs >= nowMs ? neededAtMs + 1 : Infinity }
    const eligibleAtMs = Math.min(criticalAtMs, first.addedAtMs + computeBatchingDelayMs(neededAtMs - first.addedAtMs))
    if (queue.deferrableCount >= deferrableLoadThreshold || eligibleAtMs <= nowMs) return { queue, stage: 'ripe', neededAtMs, stageChangeAtMs: criticalAtMs }
    return { queue, stage: 'held', neededAtMs, stageChangeAtMs: eligibleAtMs }
  }
}

function createHeap (): BinaryHeap<AdapterLoadNeed> {
  return new BinaryHeap((left, right) => left.neededAtMs < right.neededAtMs)
}

/** Returns the first valid entry; entries that a later one has replaced are removed when they reach the top. */
function findFirst (heap: BinaryHeap<AdapterLoadNeed>): AdapterLoadNeed | undefined {
  while (heap.first && heap.first.queue.loadNeed !== heap.first) heap.removeFirst()
  return heap.first
}
