/** Waits for promises on a virtual clock. */
import type { VirtualClock } from '../../src/adapters/clock/virtualClock.js'

const stepMs = 10
const maxVirtualMs = 24 * 3600 * 1000

/** Runs the clock until a promise has settled. */
export async function settle<T> (clock: VirtualClock, promise: Promise<T>): Promise<T> {
  const state = { isSettled: false }
  promise.then(() => { state.isSettled = true }, () => { state.isSettled = true })
  const endMs = clock.readMonotonic() + maxVirtualMs
  while (!state.isSettled) {
    if (clock.readMonotonic() > endMs) throw new Error('the promise did not settle within a virtual day')
    await clock.runUntilSettled(clock.readMonotonic() + stepMs)
  }
  return await promise
}
