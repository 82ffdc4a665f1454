/** Time as the product sees it, so that tests can pass a virtual clock. */

export interface Timer {
  cancel: () => void
}

export interface Clock {
  /** Milliseconds of a monotonic clock; only differences mean anything. */
  readMonotonic: () => number
  /** Milliseconds since 1970 (UTC); used for display and times of day, never compared between hosts. */
  readWall: () => number
  /** Runs a function once, after the delay in milliseconds. */
  setTimer: (run: () => void, delayMs: number) => Timer
}
