/** Keeps orders and questions from an engine that wants nothing from this host for a while. */
import type { Clock } from '../../ports/clock.js'
import type { EngineOrders } from '../../ports/orders.js'

/**
 * Refuses orders and holds questions back while the engine is paused; what it holds stays in use meanwhile.
 *
 * @example
 * const orders = createPausedOrders(openOrders(entry), clock, () => signs.readPausedMs(entry, clock.readMonotonic()))
 */
export function createPausedOrders (orders: EngineOrders, clock: Clock, readPausedMs: () => number): EngineOrders {
  return {
    send: async (order, holder, timeoutMs) => {
      const pausedMs = readPausedMs()
      if (pausedMs > 0) return { verdict: 'refused', cause: 'unavailable', reason: `the engine wants nothing for ${Math.round(pausedMs)} ms` }
      return await orders.send(order, holder, timeoutMs)
    },
    readState: async () => {
      for (let pausedMs = readPausedMs(); pausedMs > 0; pausedMs = readPausedMs()) {
        await new Promise<void>(resolve => { clock.setTimer(resolve, pausedMs) })
      }
      return await orders.readState()
    },
    close: () => orders.close()
  }
}
