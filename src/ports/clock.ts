/** Time and timers behind an interface, so that tests can use a virtual clock. */

export interface Timer {
  cancel: () => void
}

export interface Clock {
  /** Milliseconds of a monotonic clock; only differences between two readings are meaningful. */
  readMonotonic: () => number
  /** Milliseconds since 1970 (UTC); used for display and times of day. Never compare it between hosts. */
  readWall: () => number
  /** Runs a function once, after the delay in milliseconds. */
  setTimer: (run: () => void, delayMs: number) => Timer
}
