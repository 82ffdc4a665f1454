/** Runs the suspect requests of one endpoint one at a time, so that a crash shows which of them caused it. */
import { createCrashRefusal } from '../../core/suspectRegistry.js'
import type { SuspectState } from '../../core/suspectRegistry.js'
import type { Dispatch } from '../../schemas/peerMessage.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { createSuspectHeldFailure } from './endpointRefusals.js'

/** The crash of an endpoint's engine. */
export interface EndpointCrash {
  endpointId: string
  incarnation: string
  /** Fingerprints of the requests that were running. */
  fingerprints: string[]
}

export class SuspectRequestQueue<T> {
  #current: T | undefined
  #queue: T[] = []

  /** Returns whether the suspect may run now; otherwise queues it until the suspects before it are removed. */
  startOrQueue (suspect: T): boolean {
    if (this.#current === undefined) {
      this.#current = suspect
      return true
    }
    this.#queue.push(suspect)
    return false
  }

  /** Removes a running or queued suspect; returns the next one that may run, if the removed one was running. */
  remove (suspect: T): T | undefined {
    if (this.#current !== suspect) {
      this.#queue = this.#queue.filter(queued => queued !== suspect)
      return undefined
    }
    this.#current = this.#queue.shift()
    return this.#current
  }

  /**
   * Checks a request again before it is sent to the engine, as another request with the same content may have crashed
   * endpoints while this one was queued. Returns a failure if the request must not run. If its content has become suspect
   * and no other suspect runs, marks the request as a suspect and lets it run.
   */
  checkBeforeDispatch (
    suspect: T, dispatch: Dispatch, findSuspectState: (fingerprint: string) => SuspectState
  ): RequestFailure | undefined {
    const state = findSuspectState(dispatch.fingerprint)
    if (state === 'refused') return createCrashRefusal()
    if (state === 'clear' || dispatch.isSuspect) return undefined
    if (this.#current !== undefined) return createSuspectHeldFailure(dispatch.endpointId)
    this.#current = suspect
    dispatch.isSuspect = true
    return undefined
  }
}
