/** A listener for callers on a free port, whose requests are handled by a test. */
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import { CallerListener } from '../../src/tasks/proxy/callerListener.js'
import type { CallerListenerOptions, RequestHandle } from '../../src/tasks/proxy/callerListener.js'
import { findFreePort } from './findFreePort.js'

export interface TestListener {
  listener: CallerListener
  /** `ip:port`. */
  address: string
}

type TestListenerOptions = Partial<Pick<CallerListenerOptions, 'getLimits' | 'maxHeldBytes' | 'log' | 'receiveRead'>> & Pick<CallerListenerOptions, 'createHandle'>

/**
 * Starts a listener; its limit on all bodies is 100 MB if none is given.
 *
 * @example
 * const { listener, address } = await startTestListener({ createHandle: (_request, response) => createTestHandle(async () => response.end()) })
 */
export async function startTestListener (options: TestListenerOptions): Promise<TestListener> {
  const address = `127.0.0.1:${await findFreePort()}`
  const listener = new CallerListener({
    address, clock: createSystemClock(), log: { record: () => {} }, decodeRequest, getLimits: () => undefined, maxHeldBytes: 100_000_000, ...options
  })
  await listener.start()
  return { listener, address }
}

/** A handle that does nothing but serve, unless `changes` say more. */
export function createTestHandle (serve: () => Promise<void>, changes: Partial<RequestHandle> = {}): RequestHandle {
  return { serve, receiveError: () => {}, receiveCallerDisconnect: () => {}, receiveUnknownCaller: () => {}, receiveStop: () => {}, ...changes }
}
