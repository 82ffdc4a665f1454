/** A clock that stands still until it is told to move; for the bench of decisions and for tests. */
import type { Clock, Timer } from '../../ports/clock.js'

interface PendingTimer {
  dueMs: number
  /** Order of creation; timers due at the same time run in it. */
  sequence: number
  isCancelled: boolean
  run: () => void
}

/** Runs timers in order of time, then of creation. */
export class VirtualClock implements Clock {
  #nowMs = 0
  #sequence = 0
  #wallOffsetMs: number
  #heap: PendingTimer[] = []

  /** `wallOffsetMs`: wall-clock time at the start, in milliseconds since 1970. */
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

  /** Time of the next timer; undefined where none is set. */
  findNextMs (): number | undefined {
    while (this.#heap[0]?.isCancelled) this.#removeFirst()
    return this.#heap[0]?.dueMs
  }

  /** Runs the next timer; false where none is set. */
  runNext (): boolean {
    if (this.findNextMs() === undefined) return false
    const timer = this.#removeFirst()
    this.#nowMs = timer.dueMs
    timer.run()
    return true
  }

  /** Runs every timer that is due until a time and leaves the clock there. */
  runUntil (untilMs: number): void {
    for (let next = this.findNextMs(); next !== undefined && next <= untilMs; next = this.findNextMs()) this.runNext()
    this.#nowMs = Math.max(this.#nowMs, untilMs)
  }

  /** As `runUntil`, but lets promises settle after each timer, so that asynchronous tasks keep up. */
  async runUntilSettled (untilMs: number): Promise<void> {
    await waitForPromises()
    for (let next = this.findNextMs(); next !== undefined && next <= untilMs; next = this.findNextMs()) {
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
    if (heap.length > 0) this.#placeFirst(last)
    return first
  }

  #placeFirst (timer: PendingTimer): void {
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

/** Waits until promises that are already settled have run what follows them. */
async function waitForPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
