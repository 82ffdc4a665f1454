/** Which queue without its adapter is loaded next: urgent ones by time, then those that have gathered enough work. */
import { BinaryHeap } from './binaryHeap.js'
import type { AdapterQueue, LoadNeed, WaitingRequest } from './waitingRequests.js'

/** Work that is late counts as needed after this time, in milliseconds. */
const lateLoadMs = 60_000

export interface LoadNeedsOptions {
  /** Deferrable requests of one adapter that are worth a load at once. */
  gatherCount: number
  /** How long a deferrable request is held for others of its adapter, from its slack in milliseconds. */
  computeHoldMs: (slackMs: number) => number
  /** A deferrable request is urgent when its latest start is nearer than this, in milliseconds. */
  computeCriticalMs: () => number
  /** Whether deferrable work can no longer meet its target. */
  isLate: (latestStartMs: number, nowMs: number) => boolean
  /** When a load of the adapter may be tried again. */
  findRetryMs: (name: string) => number
}

export class LoadNeeds {
  #options: LoadNeedsOptions
  #urgent = createHeap()
  #ripe = createHeap()
  #timed = new BinaryHeap<LoadNeed>((left, right) => left.changeAtMs < right.changeAtMs)

  constructor (options: LoadNeedsOptions) {
    this.#options = options
  }

  get firstUrgent (): LoadNeed | undefined {
    return findFirst(this.#urgent)
  }

  get firstRipe (): LoadNeed | undefined {
    return findFirst(this.#ripe)
  }

  /** When a queue may change its stage; undefined where none waits for a time. */
  findNextChangeMs (): number | undefined {
    return findFirst(this.#timed)?.changeAtMs
  }

  /** Places a queue again after its requests have changed. */
  update (group: AdapterQueue, nowMs: number): void {
    const need = this.#createNeed(group, nowMs)
    const before = group.need
    if (need && before && need.stage === before.stage && need.neededAtMs === before.neededAtMs && need.changeAtMs === before.changeAtMs) return
    group.need = need
    if (!need) return
    if (need.stage === 'urgent') this.#urgent.add(need)
    if (need.stage === 'ripe') this.#ripe.add(need)
    if (Number.isFinite(need.changeAtMs)) this.#timed.add(need)
  }

  /** Takes a queue out, since its load is planned or it is empty. */
  remove (group: AdapterQueue): void {
    group.need = undefined
  }

  /** Moves the queues whose time has come to their next stage. */
  updateDue (nowMs: number): void {
    for (let need = findFirst(this.#timed); need && need.changeAtMs <= nowMs; need = findFirst(this.#timed)) {
      this.#timed.removeFirst()
      need.group.need = undefined
      this.update(need.group, nowMs)
    }
  }

  #createNeed (group: AdapterQueue, nowMs: number): LoadNeed | undefined {
    const urgent = group.firstUrgent
    group.updateLate(waiting => this.#options.isLate(waiting.latestStartMs, nowMs))
    const deferrable = group.firstDeferrable
    const neededAtMs = Math.min(urgent?.orderMs ?? Infinity, group.firstOnTime?.latestStartMs ?? deferrable?.latestStartMs ?? Infinity)
    if (!Number.isFinite(neededAtMs)) return undefined
    const retryAtMs = this.#options.findRetryMs(group.name)
    if (retryAtMs > nowMs) return { group, stage: 'held', neededAtMs, changeAtMs: retryAtMs }
    if (urgent) return { group, stage: 'urgent', neededAtMs, changeAtMs: Infinity }
    return this.#createDeferrableNeed(group, deferrable!, nowMs)
  }

  #createDeferrableNeed (group: AdapterQueue, first: WaitingRequest, nowMs: number): LoadNeed {
    const { gatherCount, computeHoldMs, computeCriticalMs, isLate } = this.#options
    // A load that comes too late anyway delays no other: it goes after all that is needed soon.
    if (isLate(first.latestStartMs, nowMs)) return { group, stage: 'ripe', neededAtMs: nowMs + lateLoadMs, changeAtMs: Infinity }
    const neededAtMs = first.latestStartMs
    const criticalAtMs = neededAtMs - computeCriticalMs()
    if (criticalAtMs <= nowMs) return { group, stage: 'urgent', neededAtMs, changeAtMs: neededAtMs >= nowMs ? neededAtMs + 1 : Infinity }
    const ripeAtMs = Math.min(criticalAtMs, first.addedAtMs + computeHoldMs(neededAtMs - first.addedAtMs))
    if (group.deferrableCount >= gatherCount || ripeAtMs <= nowMs) return { group, stage: 'ripe', neededAtMs, changeAtMs: criticalAtMs }
    return { group, stage: 'held', neededAtMs, changeAtMs: ripeAtMs }
  }
}

function createHeap (): BinaryHeap<LoadNeed> {
  return new BinaryHeap((left, right) => left.neededAtMs < right.neededAtMs)
}

/** Entries that a later one has replaced are dropped as they come up. */
function findFirst (heap: BinaryHeap<LoadNeed>): LoadNeed | undefined {
  while (heap.first && heap.first.group.need !== heap.first) heap.removeFirst()
  return heap.first
}
