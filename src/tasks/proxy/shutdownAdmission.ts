/** Decides which requests a host that shuts down still serves: those that can be expected to end before it does. */
import { RecentDurations } from '../../core/recentDurations.js'
import { isRetryable } from '../../core/retryRules.js'
import type { Clock } from '../../ports/clock.js'
import type { Route } from '../../schemas/routing.js'

/** Of the requests that are still served, this fraction ends in time, by the latest ones of their route. */
const completedFraction = 0.95
/** As above, for requests that nobody may repeat once they were sent to an endpoint. */
const completedOnceFraction = 0.99

export class ShutdownAdmission {
  #clock: Pick<Clock, 'readMonotonic'>
  #durations = new RecentDurations()
  #endsAtMs = Infinity

  constructor (clock: Pick<Clock, 'readMonotonic'>) {
    this.#clock = clock
  }

  /** When requests that have not ended are ended, in monotonic milliseconds; Infinity unless the host shuts down. */
  get endsAtMs (): number {
    return this.#endsAtMs
  }

  begin (endsAtMs: number): void {
    this.#endsAtMs = endsAtMs
  }

  recordServed (route: Route, ms: number): void {
    this.#durations.record(route.name, ms)
  }

  /** Whether a request that is sent now can be expected to end, by its answer or its deadline, before the host does. */
  canComplete (route: Route, deadlineAtMs: number): boolean {
    if (this.#endsAtMs === Infinity || deadlineAtMs <= this.#endsAtMs) return true
    const fraction = isRetryable(route.kind, route.isResumable) ? completedFraction : completedOnceFraction
    return this.#clock.readMonotonic() + (this.#durations.findQuantileMs(route.name, fraction) ?? Infinity) <= this.#endsAtMs
  }

  retainRoutes (names: ReadonlySet<string>): void {
    this.#durations.retainRoutes(names)
  }
}
