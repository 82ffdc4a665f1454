/** A clock that advances only on request; for the decision benchmarks and for tests. */
import type { Clock, Timer } from '../../ports/clock.js'

interface PendingTimer {
  dueMs: number
  /** Creation order, in which timers due at the same time run. */
  sequence: number
  isCancelled: boolean
  run: () => void
}

/** Runs timers in the order of their due times, then of their creation. */
export class VirtualClock implements Clock {
  #nowMs = 0
  #sequence = 0
  #wallOffsetMs: number
  #heap: PendingTimer[] = []

  /** `wallOffsetMs`: initial wall-clock time in milliseconds since 1970 (UTC). */
  constructor (wallOffsetMs = 0) {
    this.#wallOffsetMs = wallOffsetMs
  }

  readMonotonic = (): number => this.#nowMs

  readWall = (): number => this.#wallOffsetMs + this.#nowMs

  setTimer = (run: () => void, delayMs: number): Timer => {
    const timer: PendingTimer = { dueMs: this.#nowMs + Math.max(0, delayMs), sequence: this.#sequence++, isCancelled: false, run }
    this.#addTimer(timer)
    return { cancel: () => { timer.isCancelled = true } }
  }

  /** Due time of the next timer; undefined where none is set. */
  getNextTimerMs (): number | undefined {
    while (this.#heap[0]?.isCancelled) this.#removeFirst()
    return this.#heap[0]?.dueMs
  }

  /** Advances to the next timer and runs it; false where none is set. */
  runNext (): boolean {
    if (this.getNextTimerMs() === undefined) return false
    const timer = this.#removeFirst()
    this.#nowMs = timer.dueMs
    timer.run()
    return true
  }

  /** Runs every timer that is due by a time, then sets the clock to it. */
  runUntil (untilMs: number): void {
    for (let next = this.getNextTimerMs(); next !== undefined && next <= untilMs; next = this.getNextTimerMs()) this.runNext()
    this.#nowMs = Math.max(this.#nowMs, untilMs)
  }

  /** Like `runUntil`, but runs pending promise callbacks after each timer, so that asynchronous tasks make progress. */
  async runUntilSettled (untilMs: number): Promise<void> {
    await waitForPromises()
    for (let next = this.getNextTimerMs(); next !== undefined && next <= untilMs; next = this.getNextTimerMs()) {
      this.runNext()
      await waitForPromises()
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs)
  }

  #addTimer (timer: PendingTimer): void {
    const heap = this.#heap
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(timer, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = timer
  }

  #removeFirst (): PendingTimer {
    const heap = this.#heap
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length > 0) this.#siftDownFromRoot(last)
    return first
  }

  #siftDownFromRoot (timer: PendingTimer): void {
    const heap = this.#heap
    let index = 0
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
      if (!isBefore(heap[child]!, timer)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = timer
  }
}

function isBefore (left: PendingTimer, right: PendingTimer): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence)
}

/** Waits until the callbacks of already settled promises have run. */
async function waitForPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
