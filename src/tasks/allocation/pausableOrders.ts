/** Sends no orders or state reads to an engine that has asked this host to pause. */
import type { Clock } from '../../ports/clock.js'
import type { EngineOrders } from '../../ports/engineOrders.js'

/**
 * Wraps an engine's orders: while the engine is paused, orders are refused and state reads wait until the pause ends.
 * Adapters that are already loaded stay in use.
 *
 * @example
 * const orders = createPausableOrders(openOrders(entry), clock, () => notices.getRemainingPauseMs(entry, clock.readMonotonic()))
 */
export function createPausableOrders (orders: EngineOrders, clock: Clock, getRemainingPauseMs: () => number): EngineOrders {
  return {
    send: async (order, holder, timeoutMs) => {
      const pauseLeftMs = getRemainingPauseMs()
      if (pauseLeftMs > 0) return { verdict: 'refused', cause: 'unavailable', reason: `the engine accepts no orders for ${Math.round(pauseLeftMs)} ms` }
      return await orders.send(order, holder, timeoutMs)
    },
    readState: async () => {
      for (let pauseLeftMs = getRemainingPauseMs(); pauseLeftMs > 0; pauseLeftMs = getRemainingPauseMs()) {
        await new Promise<void>(resolve => { clock.setTimer(resolve, pauseLeftMs) })
      }
      return await orders.readState()
    },
    close: () => orders.close()
  }
}
